#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <cstddef>
#include <vector>

namespace cowslipridge::route {

/// Partitions the runners of a service into a pool for its smallest model and
/// one for the larger models.
///
/// A runner that prefills a long prompt with a large model in chunks delays
/// every token that the small model generates on the same runner, so that short
/// answers to cheap requests miss their deadline. Separate pools keep the small
/// model's latency independent of the prefill work of the larger ones.
class ModelPools {
public:
  /// Records work that was sent to a runner, in milliseconds of its time.
  void recordWork(bool smallest, double workMillis, core::Millis now);
  /// Returns how many of `total` runners serve the smallest model.
  [[nodiscard]] std::size_t smallestModelPoolSize(std::size_t total) const;
  /// Orders the runners for assignment to the smallest model's pool. All
  /// gateways use the same order.
  static bool before(const core::RunnerId &a, const core::RunnerId &b);

private:
  void decay(core::Millis now);

  double SmallWork = 0;
  double LargeWork = 0;
  core::Millis DecayedAt;
};

} // namespace cowslipridge::route
