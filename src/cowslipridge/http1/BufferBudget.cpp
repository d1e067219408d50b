#include "cowslipridge/http1/BufferBudget.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace cowslipridge::http1 {

class BufferBudget::State : public std::enable_shared_from_this<State> {
public:
  explicit State(std::size_t limit) : Limit(limit) {}

  [[nodiscard]] bool hasRoom(std::size_t bytes) const {
    return Used <= Limit && bytes <= Limit - Used;
  }

  void add(std::size_t bytes) { Used += bytes; }
  void remove(std::size_t bytes) {
    Used -= bytes;
    serve();
  }

  // Those that wait go before new ones, also if there is room for these.
  void serve() {
    while (!Waiting.empty() && hasRoom(Waiting.begin()->second.Bytes)) {
      const Waiter next = std::move(Waiting.begin()->second);
      Waiting.erase(Waiting.begin());
      add(next.Bytes);
      next.OnRoom(Share(shared_from_this(), next.Bytes));
    }
  }

  struct Waiter {
    std::size_t Bytes = 0;
    RoomHandler OnRoom;
  };

  const std::size_t Limit;
  std::size_t Used = 0;
  Ticket LastTicket = 0;
  std::map<Ticket, Waiter> Waiting; ///< in the order of their calls
};

BufferBudget::Share::Share(std::shared_ptr<State> owner, std::size_t bytes)
    : Owner(std::move(owner)), Bytes(bytes) {}

BufferBudget::Share::~Share() { resize(0); }

BufferBudget::Share::Share(Share &&other) noexcept
    : Owner(std::move(other.Owner)), Bytes(std::exchange(other.Bytes, 0)) {}

BufferBudget::Share &BufferBudget::Share::operator=(Share &&other) noexcept {
  std::swap(Owner, other.Owner);
  std::swap(Bytes, other.Bytes);
  return *this;
}

void BufferBudget::Share::resize(std::size_t bytes) {
  if (!Owner)
    return;
  const std::size_t before = std::exchange(Bytes, bytes);
  if (bytes > before)
    Owner->add(bytes - before);
  else if (bytes < before)
    Owner->remove(before - bytes);
}

BufferBudget::BufferBudget(std::size_t limit)
    : Internals(std::make_shared<State>(limit)) {}

BufferBudget::Share BufferBudget::emptyShare() const { return {Internals, 0}; }

BufferBudget::Ticket BufferBudget::await(std::size_t bytes,
                                         RoomHandler onRoom) {
  const Ticket ticket = ++Internals->LastTicket;
  Internals->Waiting.emplace(
      ticket,
      State::Waiter{std::min(bytes, Internals->Limit), std::move(onRoom)});
  Internals->serve();
  return ticket;
}

void BufferBudget::cancel(Ticket ticket) {
  Internals->Waiting.erase(ticket);
  Internals->serve();
}

std::size_t BufferBudget::used() const { return Internals->Used; }
std::size_t BufferBudget::limit() const { return Internals->Limit; }
std::size_t BufferBudget::waiting() const { return Internals->Waiting.size(); }

} // namespace cowslipridge::http1
