#include "cowslipridge/http1/internal/ServerConnection.hpp"

#include "cowslipridge/core/Chrono.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace cowslipridge::http1::internal {

namespace {

/// Bytes of further requests that are kept while one is answered.
constexpr std::size_t MaxPipelinedBytes = 64UL * 1024;
/// How long the rest of a refused request is read, so that the client gets the
/// answer and not a reset.
constexpr core::Millis LingerTime{1000};

} // namespace

ServerConnection::ServerConnection(
    Socket socket, std::shared_ptr<ServerShared> shared,
    std::function<void(ServerConnection *)> onClosed)
    : Peer(std::move(socket)), Shared(std::move(shared)),
      OnClosed(std::move(onClosed)), Timer(Peer.get_executor()) {}

ServerConnection::~ServerConnection() { leaveFlight(); }

void ServerConnection::start() {
  Parser.emplace(Shared->Limits.Request);
  armTimer();
  read();
}

bool ServerConnection::isIdle() const {
  return State == Phase::Reading && !Begun;
}

void ServerConnection::shutDown() {
  if (State == Phase::Closed)
    return;
  left();
  close(Peer);
  closed();
}

const RequestHead &ServerConnection::head() const { return Parser->head(); }
const std::string &ServerConnection::body() const { return Parser->body(); }

void ServerConnection::read() {
  if (Reads || State == Phase::Closed || Input.size() > MaxPipelinedBytes)
    return;
  Reads = true;
  Peer.async_read_some(boost::asio::buffer(Chunk),
                       [self = shared_from_this()](const auto &ec, auto n) {
                         self->Reads = false;
                         self->onRead(ec, n);
                       });
}

void ServerConnection::onRead(const boost::system::error_code &ec,
                              std::size_t n) {
  if (State == Phase::Closed)
    return;
  if (ec) {
    shutDown();
    return;
  }
  if (State == Phase::Closing) {
    read();
    return;
  }
  Input.append(Chunk.data(), n);
  if (State == Phase::Reading)
    parse();
  read();
}

void ServerConnection::parse() {
  if (!std::exchange(Begun, true))
    armTimer();
  onStatus(Parser->parse(Input));
}

void ServerConnection::onStatus(ParseStatus status) {
  switch (status) {
  case ParseStatus::NeedMore:
    if (Parser->headDone())
      sendContinue();
    return;
  case ParseStatus::Complete:
    dispatch();
    return;
  case ParseStatus::HeaderTooLarge:
    refuse(431);
    return;
  case ParseStatus::BodyTooLarge:
    refuse(413);
    return;
  case ParseStatus::Malformed:
    refuse(400);
    return;
  }
}

void ServerConnection::refuse(int status) {
  KeepAlive = false;
  State = Phase::Answering;
  ResponseHead head;
  head.Status = status;
  respond(std::move(head), {});
}

void ServerConnection::sendContinue() {
  if (ContinueSent || !Parser->head().Fields.hasToken("Expect", "100-continue"))
    return;
  ContinueSent = true;
  Pending += "HTTP/1.1 100 Continue\r\n\r\n";
  write();
}

void ServerConnection::dispatch() {
  State = Phase::Answering;
  KeepAlive = Parser->head().KeepAlive;
  ReadAt = Shared->Clock.monotonic();
  InFlight = true;
  ++Shared->InFlight;
  Timer.cancel();
  Shared->Handler(shared_from_this());
}

void ServerConnection::respond(ResponseHead head, std::string_view body) {
  head.Body = Framing::Length;
  head.Length = body.size();
  begin(std::move(head));
  send(body);
  end();
}

void ServerConnection::begin(ResponseHead head) {
  if (State != Phase::Answering || AnswerBegun)
    return;
  AnswerBegun = true;
  const bool oldClient = Parser->headDone() && !Parser->head().IsHttp11OrLater;
  if (head.Body == Framing::UntilClose || head.Body == Framing::Chunked)
    head.Body = oldClient ? Framing::UntilClose : Framing::Chunked;
  if (head.Body == Framing::UntilClose || Shared->CloseAfterAnswers)
    KeepAlive = false;
  Answer = head.Body;
  head.KeepAlive = KeepAlive;
  Pending += writeHead(head);
  write();
}

void ServerConnection::send(std::string_view data) {
  if (State != Phase::Answering || !AnswerBegun || data.empty())
    return;
  const bool isHead = Parser->headDone() && Parser->head().Method == "HEAD";
  if (isHead)
    return;
  if (Answer == Framing::Chunked)
    Pending += writeChunk(data);
  else
    Pending += data;
  write();
}

void ServerConnection::end() {
  if (State != Phase::Answering || AnswerEnded)
    return;
  AnswerEnded = true;
  if (Answer == Framing::Chunked)
    Pending += LastChunk;
  leaveFlight();
  Left = nullptr;
  if (backlog() == 0)
    finishAnswer();
  else
    write();
}

void ServerConnection::abort() {
  if (State == Phase::Closed)
    return;
  Left = nullptr;
  reset(Peer);
  closed();
}

std::size_t ServerConnection::backlog() const {
  return Pending.size() + Writing.size();
}

void ServerConnection::onDrained(std::function<void()> handler) {
  Drained = std::move(handler);
}

void ServerConnection::onClientDisconnect(std::function<void()> handler) {
  Left = std::move(handler);
}

void ServerConnection::write() {
  if (!Writing.empty() || Pending.empty() || State == Phase::Closed)
    return;
  Writing = std::exchange(Pending, {});
  boost::asio::async_write(
      Peer, boost::asio::buffer(Writing),
      [self = shared_from_this()](const auto &ec, std::size_t /*n*/) {
        self->onWritten(ec);
      });
}

void ServerConnection::onWritten(const boost::system::error_code &ec) {
  Writing.clear();
  if (State == Phase::Closed)
    return;
  if (ec) {
    shutDown();
    return;
  }
  if (!Pending.empty()) {
    write();
    return;
  }
  if (AnswerEnded && State == Phase::Answering)
    finishAnswer();
  else
    drained();
}

void ServerConnection::drained() {
  const auto handler = Drained;
  if (handler)
    handler();
}

void ServerConnection::finishAnswer() {
  Drained = nullptr;
  if (!KeepAlive) {
    linger();
    return;
  }
  State = Phase::Reading;
  Begun = AnswerBegun = AnswerEnded = ContinueSent = false;
  Parser.emplace(Shared->Limits.Request);
  armTimer();
  // Not from here: the handler of the request before may still be running.
  boost::asio::post(Peer.get_executor(), [self = shared_from_this()] {
    if (self->State == Phase::Reading && !self->Input.empty())
      self->parse();
    self->read();
  });
}

void ServerConnection::linger() {
  State = Phase::Closing;
  boost::system::error_code ignored;
  Peer.shutdown(Socket::shutdown_send, ignored);
  Timer.expires_after(core::toChrono(LingerTime));
  Timer.async_wait([self = shared_from_this()](const auto &ec) {
    if (!ec)
      self->shutDown();
  });
  Input.clear();
  read();
}

void ServerConnection::left() {
  leaveFlight();
  const auto handler = std::exchange(Left, nullptr);
  if (handler)
    handler();
}

void ServerConnection::armTimer() {
  const core::Millis limit =
      isIdle() ? Shared->Limits.IdleTimeout : Shared->Limits.HeaderTimeout;
  Timer.expires_after(core::toChrono(limit));
  Timer.async_wait([self = shared_from_this()](const auto &ec) {
    if (!ec)
      self->onTimer();
  });
}

void ServerConnection::onTimer() {
  if (State != Phase::Reading)
    return;
  if (isIdle()) {
    shutDown();
    return;
  }
  if (!Parser->headDone()) {
    refuse(408);
    return;
  }
  // The head came in time; the body has until the idle limit.
  Timer.expires_after(core::toChrono(Shared->Limits.IdleTimeout));
  Timer.async_wait([self = shared_from_this()](const auto &ec) {
    if (!ec && self->State == Phase::Reading)
      self->refuse(408);
  });
}

void ServerConnection::closed() {
  if (State == Phase::Closed)
    return;
  State = Phase::Closed;
  leaveFlight();
  Drained = nullptr;
  Left = nullptr;
  Timer.cancel();
  OnClosed(this);
}

void ServerConnection::leaveFlight() {
  if (InFlight)
    --Shared->InFlight;
  InFlight = false;
}

} // namespace cowslipridge::http1::internal
