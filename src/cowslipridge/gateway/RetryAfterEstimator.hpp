#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <map>
#include <optional>

namespace cowslipridge::gateway {

/// Estimates when a caller rejected by a draining gateway finds one that
/// serves.
///
/// When all gateways drain at the same time, a caller that is told to retry at
/// once uses up its retries before the first gateway has restarted.
class RetryAfterEstimator {
public:
  /// Time for which a report counts as a sign that its sender is alive.
  static constexpr core::Millis ReportLifetime{1'500};

  /// Records a report of `peer`. `exitsWithin` is set when the peer is
  /// draining: its process exits after that time.
  void recordReport(const core::InstanceId &peer,
                    std::optional<core::Millis> exitsWithin, core::Millis now);
  /// Returns the time until some gateway is likely to serve. This gateway is
  /// draining and exits after `ownExitsWithin`.
  [[nodiscard]] core::Millis retryAfter(core::Millis ownExitsWithin,
                                        core::Millis now) const;

private:
  struct State {
    bool Draining = false;
    core::Millis Since; ///< start of the current state (serving or draining)
    /// Expected restart of a draining peer; expiry of a serving peer's report.
    core::Millis Until;
  };
  std::map<core::InstanceId, State> Peers;
};

} // namespace cowslipridge::gateway
