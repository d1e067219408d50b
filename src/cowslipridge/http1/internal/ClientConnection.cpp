#include "cowslipridge/http1/internal/ClientConnection.hpp"

#include "cowslipridge/http1/internal/KeepAlive.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <utility>

namespace cowslipridge::http1::internal {

namespace {

/// Subtracted from the server's Keep-Alive timeout, since the server starts its
/// timer before the response reaches this client.
constexpr core::Millis KeepAliveMargin{500};
/// Bytes that the parser may leave unread while it waits for more: the head of
/// a response or of a chunk.
constexpr std::size_t MaxUnparsedBytes = 128UL * 1024;
/// Bytes of responses to other calls that are read ahead of the expected one.
constexpr std::size_t MaxSkippedBytes = 1024UL * 1024;

/// Requests after which a connection is replaced, which bounds the memory for
/// their hashes.
constexpr std::size_t MaxCarriedRequests = 1024;

} // namespace

ClientConnection::ClientConnection(boost::asio::io_context &loop,
                                   const core::Clock &clock,
                                   const ClientLimits &limits, std::uint64_t id,
                                   PoolCallbacks callbacks)
    : Peer(loop), Clock(clock), Limits(limits), Id(id),
      Pool(std::move(callbacks)), Timer(loop) {}

/// Forwards to the connection only while it carries the call of this handle.
class ClientConnection::Handle final : public Call {
public:
  Handle(std::shared_ptr<ClientConnection> connection, std::uint64_t number)
      : Connection(std::move(connection)), Number(number) {}
  void cancel() override {
    if (isCurrent())
      Connection->cancel();
  }
  void pause() override {
    if (isCurrent())
      Connection->pause();
  }
  void resume() override {
    if (isCurrent())
      Connection->resume();
  }
  [[nodiscard]] CallProgress progress() const override {
    // Nothing is known any more of a call that ended: it may have been sent.
    return isCurrent() ? Connection->progress()
                       : CallProgress{0, false, false, true, {}, {}};
  }

private:
  [[nodiscard]] bool isCurrent() const {
    return Connection->CallNumber == Number;
  }
  std::shared_ptr<ClientConnection> Connection;
  std::uint64_t Number;
};

std::shared_ptr<Call>
ClientConnection::start(CallSpec spec, std::shared_ptr<CallEvents> events) {
  auto handle = std::make_shared<Handle>(shared_from_this(), ++CallNumber);
  Spec = std::move(spec);
  if (const auto request = CarriedRequest::of(Spec))
    Carried.push_back(*request);
  Events = std::move(events);
  StartedAt = Clock.monotonic();
  Progress = {};
  Progress.Connection = Id;
  Parser.emplace(Spec.HeadRequest);
  Paused = RequestSent = WriteFailed = EndPending = false;
  HeadDelivered = Mismatched = false;
  SkippedBytes = 0;
  if (State == Phase::Unconnected) {
    connect();
    return handle;
  }
  // The read of the response must not queue behind the wait of the idle
  // connection, else it ends after timeouts that expire in the same turn.
  boost::system::error_code ignored;
  Peer.cancel(ignored);
  State = Phase::Busy;
  Progress.Reused = Progress.Connected = true;
  armTimer(Spec.Timeout);
  send();
  read();
  return handle;
}

bool ClientConnection::isUsable(core::Millis now) {
  return State == Phase::Idle && now < UsableUntil &&
         Carried.size() < MaxCarriedRequests && isQuiet(Peer);
}

bool ClientConnection::mayCarry(const CarriedRequest &request) const {
  return std::ranges::find(Carried, request) == Carried.end();
}

void ClientConnection::shutDown() {
  Events = nullptr;
  close();
}

void ClientConnection::cancel() {
  Events = nullptr;
  if (State == Phase::Closed || State == Phase::Idle)
    return;
  reset(Peer);
  close();
}

void ClientConnection::resume() {
  Paused = false;
  read();
}

CallProgress ClientConnection::progress() const {
  CallProgress progress = Progress;
  progress.Age = age();
  return progress;
}

core::Millis ClientConnection::age() const {
  return Clock.monotonic() - StartedAt;
}

void ClientConnection::connect() {
  State = Phase::Connecting;
  armTimer(std::min(Limits.ConnectTimeout, Spec.Timeout));
  Peer.async_connect(Spec.Server, [self = shared_from_this()](const auto &ec) {
    if (self->State == Phase::Connecting)
      self->onConnected(ec);
  });
}

void ClientConnection::onConnected(const boost::system::error_code &ec) {
  if (ec) {
    fail(CallFailure::NotConnected);
    return;
  }
  configureSocket(Peer, Limits.DeadPeer);
  State = Phase::Busy;
  Progress.Connected = true;
  if (age() >= Spec.Timeout || !recompose()) {
    fail(CallFailure::TooLateToSend);
    return;
  }
  armTimer(Spec.Timeout - age());
  send();
  read();
}

// Returns false if it is too late to send the request.
bool ClientConnection::recompose() {
  if (!Spec.Recompose)
    return true;
  auto bytes = Spec.Recompose(age());
  if (!bytes)
    return false;
  Spec.Bytes = std::move(*bytes);
  return true;
}

void ClientConnection::send() {
  Progress.Sent = true;
  const std::array<boost::asio::const_buffer, 2> buffers{
      boost::asio::buffer(Spec.Bytes), Spec.Body
                                           ? boost::asio::buffer(*Spec.Body)
                                           : boost::asio::const_buffer()};
  boost::asio::async_write(
      Peer, buffers,
      [self = shared_from_this()](const auto &ec, std::size_t /*n*/) {
        self->onSent(ec);
      });
}

void ClientConnection::onSent(const boost::system::error_code &ec) {
  if (State != Phase::Busy)
    return;
  RequestSent = !ec;
  WriteFailed = ec.failed();
  // The server may have responded before it closed the connection; reading
  // returns either that response or the error.
  if (EndPending)
    endResponse();
  else if (ec)
    read();
}

void ClientConnection::read() {
  if (ReadPending || Paused || EndPending || State != Phase::Busy)
    return;
  ReadPending = true;
  Peer.async_read_some(boost::asio::buffer(Chunk),
                       [self = shared_from_this()](const auto &ec, auto n) {
                         self->ReadPending = false;
                         self->onRead(ec, n);
                       });
}

void ClientConnection::onRead(const boost::system::error_code &ec,
                              std::size_t n) {
  if (State != Phase::Busy)
    return;
  if (ec == boost::asio::error::eof) {
    onPeerEnd();
    return;
  }
  if (ec) {
    failBroken();
    return;
  }
  Input.append(Chunk.data(), n);
  parse();
  read();
}

void ClientConnection::onPeerEnd() {
  const bool isWhole = Parser->headDone() && !Mismatched &&
                       Parser->finish() == ResponseStatus::Complete;
  if (!isWhole)
    failBroken();
  else if (RequestSent || WriteFailed)
    endResponse();
  else
    EndPending = true;
}

// A reset is reported to the write if one is in progress; the read then sees an
// orderly end. So the end of the connection completes a response only if the
// request was written without an error.
void ClientConnection::endResponse() {
  if (!WriteFailed) {
    complete();
    return;
  }
  Progress.Defect = "the connection failed before the request was sent";
  failBroken();
}

void ClientConnection::parse() {
  while (State == Phase::Busy) {
    const std::size_t before = Input.size();
    const ResponseStatus status = Parser->parse(Input);
    if (status == ResponseStatus::Malformed) {
      failMalformed(Parser->defect());
      return;
    }
    if (Input.size() > MaxUnparsedBytes) {
      failMalformed("a line does not end");
      return;
    }
    if (!deliver())
      return;
    if (Mismatched)
      SkippedBytes += before - Input.size();
    if (SkippedBytes > MaxSkippedBytes) {
      failBroken();
      return;
    }
    if (status == ResponseStatus::NeedMore)
      return;
    if (!Mismatched) {
      complete();
      return;
    }
    skipMismatched();
    if (Input.empty())
      return;
  }
}

// Returns false if the call ended in an event handler.
bool ClientConnection::deliver() {
  if (Parser->headDone() && !HeadDelivered && !Mismatched) {
    if (namesTwoRequests()) {
      failMalformed("the response names two requests");
      return false;
    }
    Mismatched = isMismatched();
    if (!Mismatched) {
      HeadDelivered = true;
      const auto events = Events;
      events->onHead(Parser->head());
    }
  }
  if (State != Phase::Busy)
    return false;
  const std::string data = Parser->takeBody();
  if (!Mismatched && !data.empty()) {
    const auto events = Events;
    events->onData(data);
  }
  return State == Phase::Busy;
}

bool ClientConnection::namesTwoRequests() const {
  return !Spec.EchoField.empty() &&
         Parser->head().Fields.count(Spec.EchoField) > 1;
}

bool ClientConnection::isMismatched() const {
  if (Spec.EchoField.empty())
    return false;
  return Parser->head().Fields.find(Spec.EchoField).value_or("") !=
         Spec.EchoValue;
}

void ClientConnection::skipMismatched() {
  const bool usable = Parser->head().KeepAlive;
  Mismatched = false;
  Parser.emplace(Spec.HeadRequest);
  if (!usable)
    failBroken();
}

void ClientConnection::complete() {
  Timer.cancel();
  const auto events = std::exchange(Events, nullptr);
  releaseOrClose();
  if (events)
    events->onEnd();
}

// Returns the connection to the pool only if no bytes are outstanding in either
// direction.
void ClientConnection::releaseOrClose() {
  const ResponseHead &head = Parser->head();
  if (!RequestSent || !Input.empty() || !head.KeepAlive ||
      head.Body == Framing::UntilClose) {
    close();
    return;
  }
  const core::Millis allowed =
      keepAliveTimeout(head.Fields)
          .value_or(Limits.MaxIdleTime + KeepAliveMargin);
  UsableUntil = Clock.monotonic() +
                std::min(Limits.MaxIdleTime, allowed - KeepAliveMargin);
  State = Phase::Idle;
  Spec.Bytes.clear();
  Spec.Body = nullptr;
  Spec.Recompose = nullptr;
  Paused = false;
  watch();
  Pool.OnIdle(shared_from_this());
}

// Closes an idle connection when the server closes it or sends unsolicited
// bytes. Nothing is read: the bytes can't reach a call that starts meanwhile.
void ClientConnection::watch() {
  Peer.async_wait(Socket::wait_read, [self = shared_from_this(),
                                      number = CallNumber](const auto &) {
    if (self->State == Phase::Idle && self->CallNumber == number)
      self->close();
  });
}

void ClientConnection::failBroken() {
  fail(HeadDelivered ? CallFailure::Broken : CallFailure::BrokenBeforeResponse);
}

void ClientConnection::failMalformed(std::string defect) {
  Progress.Defect = std::move(defect);
  fail(HeadDelivered ? CallFailure::Broken : CallFailure::Malformed);
}

void ClientConnection::fail(CallFailure failure) {
  const auto events = std::exchange(Events, nullptr);
  reset(Peer);
  close();
  if (events)
    events->onFailure(failure);
}

void ClientConnection::armTimer(core::Millis limit) {
  Timer.start(limit, [self = shared_from_this()] { self->onTimeout(); });
}

// Only the phase tells whether the request may have been sent, not which
// timeout was armed.
void ClientConnection::onTimeout() {
  if (State == Phase::Connecting)
    fail(CallFailure::NotConnected);
  else if (State == Phase::Busy)
    fail(CallFailure::TimedOut);
}

void ClientConnection::close() {
  if (State == Phase::Closed)
    return;
  State = Phase::Closed;
  Timer.cancel();
  http1::close(Peer);
  Pool.OnClosed(this);
}

} // namespace cowslipridge::http1::internal
