#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <cstddef>
#include <vector>

namespace cowslipridge::route {

/// Partitions the runners of a service into a pool for its largest model and
/// one for the smaller models.
///
/// A runner that prefills a long prompt with the largest model in chunks delays
/// every token that smaller models generate on the same runner, so that short
/// answers to cheap requests miss their deadline. Separate pools keep the
/// latency of the smaller models independent of the largest one's work.
class ModelPools {
public:
  /// Records work that was sent to a runner, in milliseconds of its time.
  void recordWork(bool largest, double workMillis, core::Millis now);
  /// Returns how many of `total` runners serve the smaller models.
  [[nodiscard]] std::size_t smallerModelsPoolSize(std::size_t total) const;
  /// Orders the runners for assignment to the smaller models' pool. All
  /// gateways use the same order.
  static bool before(const core::RunnerId &a, const core::RunnerId &b);

private:
  void decay(core::Millis now);

  double SmallWork = 0;
  double LargeWork = 0;
  core::Millis DecayedAt;
};

} // namespace cowslipridge::route
