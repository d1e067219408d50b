#pragma once

#include "cowslipridge/http1/BufferBudget.hpp"

#include <functional>
#include <optional>

namespace cowslipridge::http1::internal {

/// The room in a budget for the body that a connection reads.
class BodyRoom {
public:
  explicit BodyRoom(BufferBudget budget) : Budget(std::move(budget)) {}
  ~BodyRoom() { release(); }
  BodyRoom(const BodyRoom &) = delete;
  BodyRoom &operator=(const BodyRoom &) = delete;

  /// Returns whether there is room for a body of this size. If not, `onRoom` is
  /// called once there is.
  bool request(std::size_t bytes, std::function<void()> onRoom);
  [[nodiscard]] bool isWaiting() const { return Ticket.has_value(); }
  [[nodiscard]] std::size_t heldBytes() const { return Held.bytes(); }
  /// Returns the share for a body that was read completely.
  [[nodiscard]] BufferBudget::Share take(std::size_t bytes);
  /// Gives the room back, or waits for it no longer.
  void release();

private:
  BufferBudget Budget;
  BufferBudget::Share Held;
  std::optional<BufferBudget::Ticket> Ticket; ///< while waiting
};

} // namespace cowslipridge::http1::internal
