#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <optional>

namespace cowslipridge::platform {

/// What one call shows about the store.
enum class CallOutcome {
  Processed,   ///< the store carried it out or told why it can't
  Rejected,    ///< the store responded that it did nothing
  RateLimited, ///< rejected because of the rate limit
  Unanswered   ///< no response arrived
};

/// Tells outages of the store from single calls that fail.
///
/// A rejection is a statement of the store about itself. A call without a
/// response shows only that its connection failed: the store counts as
/// unavailable once no call has been processed for a while.
class StoreAvailability {
public:
  /// Time without a processed call after which an unanswered call shows an
  /// outage. Longer than the interval at which a gateway renews its lease, and
  /// shorter than an outage in which the entry of a live runner can expire.
  static constexpr core::Millis UnansweredPeriod{1'500};
  /// Number of consecutive rate-limited calls that show an outage. A single one
  /// only means that the store limits the rate.
  static constexpr unsigned RateLimitsUntilUnavailable = 4;

  /// Changes that one call shows. Both are set if its response is the first one
  /// after an outage that no earlier call showed.
  struct Changes {
    bool BecameUnavailable = false;
    bool BecameAvailable = false;
    friend auto operator<=>(const Changes &, const Changes &) = default;
  };

  Changes record(CallOutcome outcome, core::Millis now);

private:
  [[nodiscard]] bool showsOutage(CallOutcome outcome, core::Millis now) const;

  bool IsUnavailable = false;
  bool HasUnansweredCalls = false;         ///< since the last processed call
  std::optional<core::Millis> ProcessedAt; ///< the last processed call
  unsigned ConsecutiveRateLimits = 0;
};

} // namespace cowslipridge::platform
