#include "cowslipridge/http1/internal/ServerConnection.hpp"

#include "cowslipridge/http1/internal/ServerExchange.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <charconv>
#include <utility>

namespace cowslipridge::http1::internal {

namespace {

/// Limit on buffered input while the response to the current request is in
/// progress: pipelined requests wait here.
constexpr std::size_t MaxPipelinedBytes = 64UL * 1024;
/// How long remaining input is read and discarded before the connection closes.
/// Closing a socket with unread input sends a TCP reset, which may destroy the
/// response before the client reads it.
constexpr core::Millis LingerTime{1000};

/// A body in chunks that is longer may be as long as the limit allows.
constexpr std::size_t MaxUnreservedChunks = 16UL * 1024;

/// The body of a request and its share of the budget.
struct HeldBody {
  std::string Text;
  BufferBudget::Share Room;
};

} // namespace

ServerConnection::ServerConnection(
    Socket socket, std::shared_ptr<ServerContext> context,
    std::function<void(ServerConnection *)> onClosed)
    : Peer(std::move(socket)), Context(std::move(context)),
      Id(++Context->ConnectionsAccepted), OnClosed(std::move(onClosed)), Timer(Peer.get_executor()),
      Room(Context->Buffers) {}

ServerConnection::~ServerConnection() { clearInFlight(); }

void ServerConnection::start() {
  Parser.emplace(Context->Limits.Request);
  FirstRequestUntil =
      Context->Clock.monotonic() + Context->Limits.FirstRequestTime;
  armTimer();
  read();
}

bool ServerConnection::isIdle() const {
  return State == Phase::Reading && !RequestBegun && Input.empty() &&
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

const RequestHead &ServerConnection::head() const { return Parser->head(); }

// The parser bounds the input of a request that is not complete.
bool ServerConnection::mayRead() const {
  if (State == Phase::Responding)
    return Input.size() <= MaxPipelinedBytes;
  if (Room.isWaiting())
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
  if (ec) {
    shutDown();
    return;
  }
  if (State == Phase::Closing) {
    read();
    return;
  }
  HasReadSinceCheck = true;
  LastReadAt = Context->Clock.monotonic();
  Input.append(Chunk.data(), n);
  if (State == Phase::Reading)
    parse();
  read();
}

void ServerConnection::parse() {
  FirstRequestUntil.reset();
  if (!std::exchange(RequestBegun, true)) {
    BegunAt = LastReadAt;
    armTimer();
  }
  onParseStatus(Parser->parse(Input));
}

void ServerConnection::onParseStatus(ParseStatus status) {
  switch (status) {
  case ParseStatus::NeedMore:
    if (Parser->headDone() && admitBody())
      sendContinue();
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

void ServerConnection::reject(int status) {
  ResponseHead head;
  head.Status = status;
  reject(std::move(head));
}

void ServerConnection::reject(ResponseHead head) {
  Room.release();
  KeepAlive = false;
  State = Phase::Responding;
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
  // A request that waited in the socket may have been given up by its client.
  if (isClosedByPeer(Peer)) {
    shutDown();
    return;
  }
  State = Phase::Responding;
  KeepAlive = Parser->head().KeepAlive;
  std::string body = Parser->takeBody();
  auto room = Room.take(body.size());
  const auto held =
      std::make_shared<HeldBody>(HeldBody{std::move(body), std::move(room)});
  Body = std::shared_ptr<const std::string>(held, &held->Text);
  InFlight = true;
  ++Context->InFlight;
  Timer.cancel();
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
  if (State != Phase::Responding || ResponseBegun)
    return;
  ResponseBegun = true;
  const bool isHttp10Client =
      Parser->headDone() && !Parser->head().IsHttp11OrLater;
  if (head.Body == Framing::UntilClose || head.Body == Framing::Chunked)
    head.Body = isHttp10Client ? Framing::UntilClose : Framing::Chunked;
  if (head.Body == Framing::UntilClose || Context->CloseAfterResponses)
    KeepAlive = false;
  ResponseFraming = head.Body;
  head.KeepAlive = KeepAlive;
  Pending += writeHead(head);
  write();
}

void ServerConnection::send(std::string_view data) {
  if (State != Phase::Responding || !ResponseBegun || ResponseEnded ||
      data.empty())
    return;
  const bool isHead = Parser->headDone() && Parser->head().Method == "HEAD";
  if (isHead)
    return;
  if (ResponseFraming == Framing::Chunked)
    Pending += writeChunk(data);
  else
    Pending += data;
  write();
}

void ServerConnection::end() {
  if (State != Phase::Responding || ResponseEnded)
    return;
  ResponseEnded = true;
  if (ResponseFraming == Framing::Chunked)
    Pending += LastChunk;
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

std::size_t ServerConnection::backlog() const {
  return Pending.size() + Writing.size();
}

void ServerConnection::onDrained(std::function<void()> handler) {
  DrainHandler = std::move(handler);
}

void ServerConnection::onClientDisconnect(std::function<void()> handler) {
  DisconnectHandler = std::move(handler);
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
  if (ResponseEnded && State == Phase::Responding)
    finishResponse();
  else
    notifyDrained();
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
  RequestBegun = ResponseBegun = ResponseEnded = ContinueSent = false;
  Parser.emplace(Context->Limits.Request);
  armTimer();
  // Posted, since the handler of the previous request may still be on the call
  // stack.
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
  Timer.start(LingerTime, [self = shared_from_this()] { self->shutDown(); });
  Input.clear();
  read();
}

void ServerConnection::notifyDisconnect() {
  clearInFlight();
  const auto handler = std::exchange(DisconnectHandler, nullptr);
  if (handler)
    handler();
}

void ServerConnection::armTimer() {
  startTimer(RequestBegun ? Context->Limits.HeaderTimeout
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
  if (!RequestBegun)
    shutDown();
  else if (!Parser->headDone())
    onLate();
  else // The head was received in time; the idle timeout applies to the body.
    startTimer(Context->Limits.IdleTimeout, &ServerConnection::onLate);
}

void ServerConnection::onLate() { reject(408); }

std::size_t ServerConnection::expectedBodyBytes() const {
  if (Parser->head().Body == Framing::Chunked)
    return Parser->body().size() > MaxUnreservedChunks
               ? Context->Limits.Request.MaxBodyBytes
               : 0;
  const auto length = Parser->head().Fields.find("Content-Length");
  std::size_t bytes = 0;
  if (length)
    std::from_chars(length->data(), length->data() + length->size(), bytes);
  return bytes;
}

bool ServerConnection::admitBody() {
  const bool hasRoom =
      Room.request(expectedBodyBytes(), [weak = weak_from_this()] {
        if (const auto self = weak.lock())
          self->onRoom();
      });
  if (!hasRoom)
    startTimer(Context->Limits.RoomTime, &ServerConnection::onNoRoom);
  return hasRoom;
}

void ServerConnection::onRoom() {
  armTimer();
  // Posted, since the holder that made room is on the call stack.
  boost::asio::post(Peer.get_executor(), [self = shared_from_this()] {
    if (self->State != Phase::Reading || !self->Parser->headDone())
      return;
    self->sendContinue();
    self->read();
  });
}

void ServerConnection::onNoRoom() { reject(Context->OnNoRoom(Parser->head())); }

void ServerConnection::finishClose() {
  if (State == Phase::Closed)
    return;
  State = Phase::Closed;
  Room.release();
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
