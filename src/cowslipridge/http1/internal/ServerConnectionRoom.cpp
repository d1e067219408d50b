#include "cowslipridge/http1/internal/ServerConnection.hpp"

#include <algorithm>

// The bytes that a connection holds, and what it does without room for them.
namespace cowslipridge::http1::internal {

namespace {

/// A head that takes up less is accepted although there is little room.
constexpr std::size_t SmallHeadBytes = 16UL * 1024;

} // namespace

bool ServerConnection::lacksRoomForHead() const {
  return Context->Limits.ConnectionBytes != 0 && Context->OnBudget.NoRoom &&
         Input.heldHeadBytes() > SmallHeadBytes && Context->Buffers.isTight();
}

bool ServerConnection::admitBody() {
  const bool hasRoom = Input.requestRoom([weak = weak_from_this()] {
    if (const auto self = weak.lock())
      self->onRoom();
  });
  if (hasRoom)
    return true;
  startTimer(Context->Limits.RoomTime, &ServerConnection::onNoRoom);
  // The room may be granted from within this call.
  Context->CloseStalled();
  return false;
}

void ServerConnection::onRoom() {
  armTimer();
  Input.onRoom();
  // Posted, since the holder that made room is on the call stack.
  boost::asio::post(Peer.get_executor(), [self = shared_from_this()] {
    if (self->State != Phase::Reading || !self->Input.headDone())
      return;
    self->sendContinue();
    self->read();
  });
}

void ServerConnection::onNoRoom() {
  Context->CloseStalled();
  if (Input.isWaitingForRoom())
    reject(Context->OnBudget.NoRoom(Input.head()));
}

void ServerConnection::endForLackOfRoom() {
  const bool isReceiving = State == Phase::Reading && Input.hasBegun();
  if (isReceiving && Input.headDone() && Context->OnBudget.NoRoom)
    reject(Context->OnBudget.NoRoom(Input.head()));
  else if (State == Phase::Responding)
    abort();
  else
    shutDown();
}

Occupation ServerConnection::occupation() const {
  if (State == Phase::Responding)
    return Writer.hasEnded() ? Occupation::Unread : Occupation::Serving;
  if (State != Phase::Reading)
    return Occupation::Closing;
  return Input.hasBegun() ? Occupation::Receiving : Occupation::Idle;
}

ConnectionState ServerConnection::state() const {
  const core::Millis now = Context->Clock.monotonic();
  ConnectionState state;
  state.What = occupation();
  state.HeldBytes = Held.bytes() + Input.roomBytes();
  // While it waits for room, this process is late and not the client.
  if (!Input.isWaitingForRoom())
    state.WithoutProgress = now - std::max(Input.progressAt(), WrittenAt);
  state.Age = now - Input.begunAt();
  return state;
}

std::size_t ServerConnection::ownBytes() const {
  // Of a connection that isn't read, the operating system holds what arrives.
  const std::size_t unread = mayRead() ? 0 : Context->Limits.SocketBufferBytes;
  return Context->Limits.ConnectionBytes + Input.heldBytes() +
         Writer.heldBytes() + unread;
}

void ServerConnection::updateHeldBytes() {
  if (State == Phase::Closed || Context->Limits.ConnectionBytes == 0)
    return;
  Held.resize(ownBytes());
  if (Context->Buffers.isExceeded() && Context->OnBudget.Exceeded)
    Context->OnBudget.Exceeded();
}

} // namespace cowslipridge::http1::internal
