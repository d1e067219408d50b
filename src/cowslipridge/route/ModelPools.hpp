#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <cstddef>
#include <vector>

namespace cowslipridge::route {

/// Divides the runners of a service between its smallest model and the larger
/// ones.
///
/// The pattern it answers: a runner that reads a long prompt with a large model
/// in chunks delays every token of the small model's answers beside it, so that
/// short answers of cheap requests run out of time. Apart, the small model's
/// answers are quick, whatever the larger ones have to read.
class ModelPools {
public:
  /// Work given to a runner, in milliseconds of its time.
  void recordWork(bool smallest, double workMillis, core::Millis now);
  /// Of `total` runners, those that serve the smallest model.
  [[nodiscard]] std::size_t smallestModelPoolSize(std::size_t total) const;
  /// Which of two runners is taken first for the smallest model's pool; all
  /// gateways agree on it.
  static bool before(const core::RunnerId &a, const core::RunnerId &b);

private:
  void decay(core::Millis now);

  double SmallWork = 0;
  double LargeWork = 0;
  core::Millis DecayedAt;
};

} // namespace cowslipridge::route
