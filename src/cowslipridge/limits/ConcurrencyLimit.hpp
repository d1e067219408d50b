#pragma once

#include "cowslipridge/core/Clock.hpp"

namespace cowslipridge::limits {

/// Bounds of an adaptive concurrency limit.
struct ConcurrencyBounds {
  unsigned Min = 1;
  unsigned Max = 32;
};

/// One request that ended.
struct FinishedRequest {
  core::Millis Elapsed;
  core::Millis Expected;
  unsigned InFlight = 0; ///< running until then, this one included
  bool Failed = false;
};

/// Adaptive concurrency limit. In each round of requests that started after the
/// last change it compares their actual with their expected time. The limit
/// falls by the factor by which they were too slow, and rises by a small step
/// while it is in use.
class ConcurrencyLimit {
public:
  explicit ConcurrencyLimit(ConcurrencyBounds bounds);

  void onFinish(const FinishedRequest &request, core::Millis now);
  [[nodiscard]] unsigned current() const;
  /// Recent ratio of actual to expected time.
  [[nodiscard]] double slowdown() const { return Slowdown; }

private:
  struct Round {
    double Elapsed = 0;
    double Expected = 0;
    unsigned Finished = 0;
    unsigned MaxInFlight = 0;
  };

  void learnNoLoad(double ratio, unsigned inFlight);
  void adjust(core::Millis now);

  ConcurrencyBounds Bounds;
  double Limit;
  bool SlowStart = true;
  double Slowdown = 1;
  double NoLoadSlowdown = 1; ///< ratio of requests that run nearly alone
  Round Current;
  core::Millis AdjustedAt;
};

} // namespace cowslipridge::limits
