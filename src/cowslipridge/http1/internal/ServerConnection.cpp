#include "cowslipridge/http1/internal/ServerConnection.hpp"

#include "cowslipridge/http1/internal/ServerExchange.hpp"

#include <boost/asio/buffer.hpp>

#include <utility>

namespace cowslipridge::http1::internal {

namespace {

/// Limit on buffered input while the response to the current request is in
/// progress: pipelined requests wait here.
constexpr std::size_t MaxPipelinedBytes = 16UL * 1024;
/// How long remaining input is read and discarded before the connection closes.
/// Closing a socket with unread input sends a TCP reset, which may destroy the
/// response before the client reads it.
constexpr core::Millis LingerTime{1000};
constexpr std::size_t MaxDiscardedBytes = 4UL * 1024 * 1024;

} // namespace

ServerConnection::ServerConnection(
    Socket socket, std::shared_ptr<ServerContext> context,
    std::function<void(ServerConnection *)> onClosed)
    : Peer(std::move(socket)), Context(std::move(context)),
      Id(++Context->ConnectionsAccepted), OnClosed(std::move(onClosed)),
      Timer(Peer.get_executor()), Input(Context), Writer(Peer),
      Held(Context->Buffers.emptyShare()) {}

ServerConnection::~ServerConnection() { clearInFlight(); }

void ServerConnection::start() {
  FirstRequestUntil =
      Context->Clock.monotonic() + Context->Limits.FirstRequestTime;
  armTimer();
  updateHeldBytes();
  read();
}

bool ServerConnection::isIdle() const {
  return State == Phase::Reading && !Input.hasBegun() && Input.isEmpty() &&
         !expectsFirstRequest() && !hasUnreadInput(Peer);
}

bool ServerConnection::expectsFirstRequest() const {
  return FirstRequestUntil && Context->Clock.monotonic() < *FirstRequestUntil;
}

void ServerConnection::shutDown() {
  if (State == Phase::Closed)
    return;
  notifyDisconnect();
  close(Peer);
  finishClose();
}

// The parser bounds the input of a request that is not complete.
bool ServerConnection::mayRead() const {
  if (State == Phase::Responding)
    return Input.unparsedBytes() <= MaxPipelinedBytes;
  if (Input.isWaitingForRoom())
    return false;
  return State != Phase::Closed;
}

void ServerConnection::read() {
  if (ReadPending || !mayRead())
    return;
  ReadPending = true;
  Peer.async_read_some(boost::asio::buffer(Chunk),
                       [self = shared_from_this()](const auto &ec, auto n) {
                         self->ReadPending = false;
                         self->onRead(ec, n);
                       });
}

void ServerConnection::onRead(const boost::system::error_code &ec,
                              std::size_t n) {
  if (State == Phase::Closed)
    return;
  DiscardedBytes += State == Phase::Closing ? n : 0;
  if (ec || DiscardedBytes > MaxDiscardedBytes) {
    shutDown();
    return;
  }
  if (State == Phase::Closing) {
    read();
    return;
  }
  HasReadSinceCheck = true;
  Input.append({Chunk.data(), n});
  if (State == Phase::Reading)
    parse();
  updateHeldBytes();
  read();
}

void ServerConnection::parse() {
  FirstRequestUntil.reset();
  const bool isNew = !Input.hasBegun();
  const ParseStatus status = Input.parse();
  if (isNew)
    armTimer();
  onParseStatus(status);
}

void ServerConnection::onParseStatus(ParseStatus status) {
  switch (status) {
  case ParseStatus::NeedMore:
    if (Input.headDone())
      onBodyDue();
    return;
  case ParseStatus::Complete:
    dispatch();
    return;
  case ParseStatus::HeaderTooLarge:
    reject(431);
    return;
  case ParseStatus::BodyTooLarge:
    reject(413);
    return;
  case ParseStatus::Malformed:
    reject(400);
    return;
  }
}

void ServerConnection::onBodyDue() {
  if (Input.isHeadNew() && Context->Filter) {
    if (auto refusal = Context->Filter(Input.head())) {
      reject(*std::move(refusal));
      return;
    }
  }
  if (admitBody())
    sendContinue();
}

void ServerConnection::reject(int status) {
  ResponseHead head;
  head.Status = status;
  reject(std::move(head));
}

void ServerConnection::reject(ResponseHead head) {
  Input.discard();
  KeepAlive = false;
  State = Phase::Responding;
  respond(std::move(head), {});
}

void ServerConnection::sendContinue() {
  if (!Input.mustSendContinue())
    return;
  Writer.sendInterim("HTTP/1.1 100 Continue\r\n\r\n");
  write();
}

void ServerConnection::dispatch() {
  // A request that waited in the socket may have been given up by its client.
  if (isClosedByPeer(Peer)) {
    shutDown();
    return;
  }
  if (lacksRoomForHead()) {
    reject(Context->OnBudget.NoRoom(Input.head()));
    return;
  }
  State = Phase::Responding;
  KeepAlive = Input.head().KeepAlive;
  Body = Input.takeBody();
  InFlight = true;
  ++Context->InFlight;
  Timer.cancel();
  updateHeldBytes();
  ServerExchange::handOver(shared_from_this(), Number, Context->Handler);
}

void ServerConnection::respond(ResponseHead head, std::string_view body) {
  head.Body = Framing::Length;
  head.Length = body.size();
  begin(std::move(head));
  send(body);
  end();
}

void ServerConnection::begin(ResponseHead head) {
  if (State != Phase::Responding || Writer.hasBegun())
    return;
  const RequestHead *request = Input.headIfDone();
  const bool isHttp10Client = request != nullptr && !request->IsHttp11OrLater;
  if (head.Body == Framing::UntilClose || head.Body == Framing::Chunked)
    head.Body = isHttp10Client ? Framing::UntilClose : Framing::Chunked;
  if (head.Body == Framing::UntilClose || Context->CloseAfterResponses)
    KeepAlive = false;
  head.KeepAlive = KeepAlive;
  Writer.begin(head, request);
  write();
}

void ServerConnection::send(std::string_view data) {
  if (State != Phase::Responding || data.empty())
    return;
  Writer.send(data);
  write();
  updateHeldBytes();
}

void ServerConnection::end() {
  if (State != Phase::Responding || Writer.hasEnded())
    return;
  Writer.end();
  DisconnectHandler = nullptr;
  if (backlog() == 0)
    finishResponse();
  else
    write();
}

void ServerConnection::abort() {
  if (State == Phase::Closed)
    return;
  DisconnectHandler = nullptr;
  reset(Peer);
  finishClose();
}

void ServerConnection::onDrained(std::function<void()> handler) {
  DrainHandler = std::move(handler);
}

void ServerConnection::onClientDisconnect(std::function<void()> handler) {
  DisconnectHandler = std::move(handler);
}

void ServerConnection::write() {
  if (State == Phase::Closed)
    return;
  Writer.flush(
      [self = shared_from_this()](const auto &ec) { self->onWritten(ec); });
}

void ServerConnection::onWritten(const boost::system::error_code &ec) {
  Writer.onWritten();
  if (State == Phase::Closed)
    return;
  if (ec) {
    shutDown();
    return;
  }
  WrittenAt = Context->Clock.monotonic();
  if (backlog() != 0) {
    write();
    return;
  }
  if (Writer.hasEnded() && State == Phase::Responding)
    finishResponse();
  else
    notifyDrained();
  updateHeldBytes();
}

void ServerConnection::notifyDrained() {
  const auto handler = DrainHandler;
  if (handler)
    handler();
}

void ServerConnection::finishResponse() {
  ++Number;
  Body = nullptr;
  clearInFlight();
  DrainHandler = nullptr;
  if (!KeepAlive) {
    linger();
    return;
  }
  State = Phase::Reading;
  Input.restart();
  Writer.restart();
  armTimer();
  // Posted, since the handler of the previous request may still be on the call
  // stack.
  boost::asio::post(Peer.get_executor(), [self = shared_from_this()] {
    if (self->State == Phase::Reading && !self->Input.isEmpty())
      self->parse();
    self->updateHeldBytes();
    self->read();
  });
}

void ServerConnection::linger() {
  State = Phase::Closing;
  boost::system::error_code ignored;
  Peer.shutdown(Socket::shutdown_send, ignored);
  Timer.start(LingerTime, [self = shared_from_this()] { self->shutDown(); });
  Input.clear();
  updateHeldBytes();
  read();
}

void ServerConnection::notifyDisconnect() {
  clearInFlight();
  const auto handler = std::exchange(DisconnectHandler, nullptr);
  if (handler)
    handler();
}

void ServerConnection::armTimer() {
  startTimer(Input.hasBegun() ? Context->Limits.HeaderTimeout
                              : Context->Limits.IdleTimeout,
             &ServerConnection::onTimer);
}

void ServerConnection::startTimer(core::Millis limit, TimerHandler handler) {
  HasReadSinceCheck = true;
  Timer.start(limit, [self = shared_from_this(), handler] {
    self->onExpired(handler);
  });
}

// The timeout counts once a turn of the loop has read nothing and the socket
// holds nothing: until then the client is not late, but this process. The
// limits on the sizes of head and body bound the number of turns.
void ServerConnection::onExpired(TimerHandler handler) {
  if (State != Phase::Reading)
    return;
  const bool readsOn = ReadPending && hasUnreadInput(Peer);
  if (!std::exchange(HasReadSinceCheck, false) && !readsOn) {
    ((*this).*handler)();
    return;
  }
  Timer.start(core::Millis(), [self = shared_from_this(), handler] {
    self->onExpired(handler);
  });
}

void ServerConnection::onTimer() {
  if (!Input.hasBegun())
    shutDown();
  else if (!Input.headDone())
    onLate();
  else // The head was received in time; the idle timeout applies to the body.
    startTimer(Context->Limits.IdleTimeout, &ServerConnection::onLate);
}

void ServerConnection::onLate() { reject(408); }

void ServerConnection::finishClose() {
  if (State == Phase::Closed)
    return;
  State = Phase::Closed;
  Input.releaseRoom();
  Held.resize(0);
  clearInFlight();
  DrainHandler = nullptr;
  DisconnectHandler = nullptr;
  Timer.cancel();
  OnClosed(this);
}

void ServerConnection::clearInFlight() {
  if (InFlight)
    --Context->InFlight;
  InFlight = false;
}

} // namespace cowslipridge::http1::internal
