#pragma once

#include <compare>
#include <cstdint>

namespace cowslipridge::core {

/// A time point or a duration, in whole milliseconds.
///
/// A time point is relative to the clock's epoch: boot for the monotonic
/// clock, the Unix epoch for the wall clock.
class Millis {
public:
  constexpr Millis() = default;
  constexpr explicit Millis(std::int64_t count) : Count(count) {}

  [[nodiscard]] constexpr std::int64_t count() const { return Count; }

  friend constexpr auto operator<=>(Millis, Millis) = default;
  friend constexpr Millis operator+(Millis a, Millis b) {
    return Millis(a.Count + b.Count);
  }
  friend constexpr Millis operator-(Millis a, Millis b) {
    return Millis(a.Count - b.Count);
  }
  friend constexpr Millis operator*(Millis a, std::int64_t n) {
    return Millis(a.Count * n);
  }
  friend constexpr Millis operator/(Millis a, std::int64_t n) {
    return Millis(a.Count / n);
  }

private:
  std::int64_t Count = 0;
};

/// Source of time. Decision code never reads a clock; the I/O code around it
/// does, and passes the time in.
class Clock {
public:
  virtual ~Clock() = default;
  /// Monotonic time; used for timeouts, deadlines and rates.
  [[nodiscard]] virtual Millis monotonic() const = 0;
  /// Wall time since the Unix epoch; used only to label events and bills.
  [[nodiscard]] virtual Millis wall() const = 0;
};

/// The operating system's clocks.
class SystemClock final : public Clock {
public:
  [[nodiscard]] Millis monotonic() const override;
  [[nodiscard]] Millis wall() const override;
};

/// A clock that moves only on advance(); for tests and simulations.
class ManualClock final : public Clock {
public:
  [[nodiscard]] Millis monotonic() const override { return Now; }
  [[nodiscard]] Millis wall() const override { return Now; }
  void advance(Millis by) { Now = Now + by; }

private:
  Millis Now;
};

} // namespace cowslipridge::core
