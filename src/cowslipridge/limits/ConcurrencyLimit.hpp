#pragma once

#include "cowslipridge/core/Clock.hpp"

namespace cowslipridge::limits {

/// Bounds of an adaptive concurrency limit.
struct ConcurrencyBounds {
  unsigned Min = 1;
  unsigned Max = 32;
};

/// Measurements of one request that ended.
struct FinishedRequest {
  core::Millis Elapsed;
  core::Millis Expected;
  unsigned InFlight = 0; ///< requests until then, including this one
  bool Failed = false;
  bool Estimated = false; ///< `Expected` is a mean over other requests
};

/// Adaptive concurrency limit with additive increase and multiplicative
/// decrease. A round consists of requests that started after the last change of
/// the limit; at its end their actual run time is compared with the expected
/// one. The limit is reduced by the factor by which the requests were too slow,
/// and increased by a small step while it is in use.
class ConcurrencyLimit {
public:
  explicit ConcurrencyLimit(ConcurrencyBounds bounds);

  void onFinish(const FinishedRequest &request, core::Millis now);
  [[nodiscard]] unsigned current() const;
  /// Returns true if so few requests are in flight that they hardly slow each
  /// other down.
  [[nodiscard]] bool isLightlyLoaded(unsigned inFlight) const;
  /// Returns the moving average of the ratio of actual to expected run time.
  [[nodiscard]] double slowdown() const { return Slowdown; }

private:
  struct Round {
    double Elapsed = 0;
    double Expected = 0;
    unsigned Finished = 0;
    unsigned MaxInFlight = 0;
  };

  void updateNoLoad(double ratio, unsigned inFlight);
  void adjust(core::Millis now);
  void adjustToRound(double ratio);
  [[nodiscard]] bool shouldProbe();
  void endProbe(double ratio);

  ConcurrencyBounds Bounds;
  double Limit;
  bool SlowStart = true;
  double Slowdown = 1;
  /// Ratio of actual to expected run time on a lightly loaded runner.
  double NoLoadSlowdown = 1;
  /// Smallest no-load ratio so far. A much higher ratio may have been measured
  /// while the runner was slow, so it is probed at half the limit.
  double MinNoLoadSlowdown = 1;
  unsigned RoundsUntilProbe = 0;
  double LimitBeforeProbe = 0; ///< 0 if no probe is in progress
  Round Current;
  core::Millis AdjustedAt;
};

} // namespace cowslipridge::limits
