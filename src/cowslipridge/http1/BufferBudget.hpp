#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>

namespace cowslipridge::http1 {

/// The owner of all bytes that a process holds for its peers: bodies of
/// callers, incomplete events, answers that are buffered or not yet written.
/// Each holder has a share of the bytes; their sum has a limit. Used by one
/// thread.
class BufferBudget {
  class State;

public:
  static constexpr std::size_t Unlimited =
      std::numeric_limits<std::size_t>::max();

  /// The bytes of one holder, given back by the destructor.
  class Share {
  public:
    Share() = default;
    ~Share();
    Share(Share &&other) noexcept;
    Share &operator=(Share &&other) noexcept;
    Share(const Share &) = delete;
    Share &operator=(const Share &) = delete;

    /// Changes the size whether there is room or not: the bytes are held
    /// already.
    void resize(std::size_t bytes);
    [[nodiscard]] std::size_t bytes() const { return Bytes; }

  private:
    friend class BufferBudget;
    Share(std::shared_ptr<State> owner, std::size_t bytes);

    std::shared_ptr<State> Owner;
    std::size_t Bytes = 0;
  };

  using Ticket = std::uint64_t;
  /// Receives the share that was waited for. Must not wait again from within.
  using RoomHandler = std::function<void(Share)>;

  explicit BufferBudget(std::size_t limit = Unlimited);

  /// Returns a share of no bytes.
  [[nodiscard]] Share emptyShare() const;
  /// Calls `onRoom` once there is room, at once if there is. Holders are served
  /// in the order of their calls. A size over the limit counts as the limit.
  Ticket await(std::size_t bytes, RoomHandler onRoom);
  /// Has no effect on a holder that was served.
  void cancel(Ticket ticket);

  [[nodiscard]] std::size_t used() const;
  [[nodiscard]] std::size_t limit() const;
  [[nodiscard]] std::size_t waiting() const;
  /// Returns whether more bytes are held than the limit allows.
  [[nodiscard]] bool isExceeded() const { return used() > limit(); }
  /// Returns whether little room is left.
  [[nodiscard]] bool isTight() const { return used() > limit() / 4 * 3; }

private:
  std::shared_ptr<State> Internals;
};

} // namespace cowslipridge::http1
