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
  bool Estimated = false; ///< `Expected` is a mean, not of this request
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
  /// True when so few requests run that they hardly slow each other.
  [[nodiscard]] bool isNearlyAlone(unsigned inFlight) const;
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
  void follow(double ratio);
  [[nodiscard]] bool shouldProbe();
  void endProbe(double ratio);

  ConcurrencyBounds Bounds;
  double Limit;
  bool SlowStart = true;
  double Slowdown = 1;
  double NoLoadSlowdown = 1; ///< ratio of requests that run nearly alone
  /// The least no-load ratio so far. A higher one is in doubt: it was learnt
  /// while the runner was slow, and is tried again at half the limit.
  double LeastNoLoad = 1;
  unsigned RoundsUntilProbe = 0;
  double LimitBeforeProbe = 0; ///< 0: no probe is running
  Round Current;
  core::Millis AdjustedAt;
};

} // namespace cowslipridge::limits
