#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <map>

namespace cowslipridge::limits {

/// Runners of a service in one failure domain, with the work that was sent to
/// them.
struct DomainCapacity {
  unsigned Runners = 0;     ///< that take requests
  double PendingMillis = 0; ///< prefill of prompts without a first token
  unsigned Waiting = 0;     ///< requests without a first token
  unsigned Running = 0;     ///< requests whose answers are being generated
  unsigned Slots = 0;       ///< answers that can be generated at once
  DomainCapacity &operator+=(const DomainCapacity &other);
  friend auto operator<=>(const DomainCapacity &,
                          const DomainCapacity &) = default;
};

/// The capacity of a service as one gateway sees it.
struct Capacity {
  /// Older reports of peers say nothing about the present load.
  static constexpr core::Millis MaxAge{1'000};

  std::map<core::FailureDomainId, DomainCapacity> Domains;
  core::Millis Age; ///< of the oldest report that it is based on

  [[nodiscard]] bool isKnown() const { return Age <= MaxAge; }
  [[nodiscard]] DomainCapacity total() const;
  /// Returns the prefill work that one runner has pending in the mean.
  [[nodiscard]] double pendingPerRunner() const;
};

} // namespace cowslipridge::limits
