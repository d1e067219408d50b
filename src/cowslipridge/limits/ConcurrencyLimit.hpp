#pragma once

#include "cowslipridge/core/Clock.hpp"

namespace cowslipridge::limits {

/// Bounds of an adaptive concurrency limit.
struct ConcurrencyBounds {
  unsigned Min = 1;
  unsigned Max = 32;
};

/// Adaptive concurrency limit: rises by one while requests take about as long
/// as on an idle runner, and falls by a factor once they take much longer
/// (additive increase, multiplicative decrease).
class ConcurrencyLimit {
public:
  explicit ConcurrencyLimit(ConcurrencyBounds bounds);

  /// A request that was expected to take `expected` took `elapsed`, with
  /// `inFlight` requests running until then.
  void onFinish(core::Millis elapsed, core::Millis expected, unsigned inFlight,
                bool failed);
  [[nodiscard]] unsigned current() const;
  /// Recent ratio of actual to expected time.
  [[nodiscard]] double slowdown() const { return Slowdown; }

private:
  void adjust(unsigned inFlight);

  ConcurrencyBounds Bounds;
  double Limit;
  double Slowdown = 1;
  double NoLoadSlowdown = 1; ///< ratio on a runner with little to do
  unsigned FinishedInRound = 0;
};

} // namespace cowslipridge::limits
