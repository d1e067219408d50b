#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <map>
#include <optional>

namespace cowslipridge::gateway {

/// Tells callers that a leaving gateway refuses when they find one that serves.
///
/// The pattern it answers: all gateways leave together. A caller that is told
/// to come back at once uses up its retries before the first of them is back.
class RetryAfterEstimator {
public:
  /// How long a report shows that its sender is alive.
  static constexpr core::Millis ReportLifetime{1'500};

  /// A peer reported; `endsIn`: it leaves, and its process ends after that
  /// time.
  void note(const core::InstanceId &peer, std::optional<core::Millis> endsIn,
            core::Millis now);
  /// When somebody is likely to serve; `ownEndsIn`: this gateway leaves too.
  [[nodiscard]] core::Millis retryAfter(core::Millis ownEndsIn,
                                        core::Millis now) const;

private:
  struct State {
    bool Leaves = false;
    core::Millis Since; ///< it serves, or leaves
    core::Millis Until; ///< it leaves: back then; it serves: heard of till then
  };
  std::map<core::InstanceId, State> Peers;
};

} // namespace cowslipridge::gateway
