#include "cowslipridge/http1/internal/BodyRoom.hpp"

#include <memory>
#include <utility>

namespace cowslipridge::http1::internal {

namespace {

/// Smaller bodies are read without waiting for room.
constexpr std::size_t SmallBodyBytes = 16UL * 1024;

} // namespace

bool BodyRoom::request(std::size_t bytes, std::function<void()> onRoom) {
  if (bytes <= SmallBodyBytes || Held.bytes() != 0)
    return true;
  // The budget calls the handler from within await() if there is room.
  const auto isImmediate = std::make_shared<bool>(true);
  const BufferBudget::Ticket ticket =
      Budget.await(bytes, [this, isImmediate, onRoom = std::move(onRoom)](
                              BufferBudget::Share share) {
        Ticket.reset();
        Held = std::move(share);
        if (!*isImmediate)
          onRoom();
      });
  *isImmediate = false;
  if (Held.bytes() != 0)
    return true;
  Ticket = ticket;
  return false;
}

BufferBudget::Share BodyRoom::take(std::size_t bytes) {
  BufferBudget::Share share =
      Held.bytes() != 0 ? std::move(Held) : Budget.emptyShare();
  share.resize(bytes);
  return share;
}

void BodyRoom::release() {
  if (Ticket)
    Budget.cancel(*Ticket);
  Ticket.reset();
  Held = {};
}

} // namespace cowslipridge::http1::internal
