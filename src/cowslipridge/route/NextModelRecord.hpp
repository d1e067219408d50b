#pragma once

#include "cowslipridge/core/Clock.hpp"

namespace cowslipridge::route {

/// Learns how often the next larger model answers with sufficient confidence
/// what a smaller one almost could.
///
/// A model of intermediate size takes less of a runner's time than the largest
/// one, but a request that is too hard for it as well runs once more. The
/// observations decay, so that a model that did not pay off is tried again.
class NextModelRecord {
public:
  /// Records whether an answer of the next model had sufficient confidence.
  void record(bool sufficient, core::Millis now);
  /// Returns whether the next model is worth a try.
  [[nodiscard]] bool isWorthwhile(core::Millis now) const;

private:
  [[nodiscard]] double decayFactor(core::Millis now) const;

  double Sufficient = 0;
  double Insufficient = 0;
  core::Millis RecordedAt;
};

} // namespace cowslipridge::route
