#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/rollout/RolloutCommand.hpp"
#include "cowslipridge/rollout/TrialEvidence.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cowslipridge::rollout {

/// What a roll-out's next record is to say.
struct TrialDecision {
  RolloutStatus Status;
  RolloutProgress Progress;
  std::string Reason;
};

/// Drives the roll-outs that operators order, over all gateways.
///
/// The steps follow the time since the order: a small share of the sessions
/// through the first half, then more, then all. Each gateway derives the
/// session's version from its id, so that they agree without talking. Any
/// gateway may write the next record; the store lets one of them win.
class TrialControl {
public:
  /// `exposureFraction`: the part of a service's requests that a version may
  /// get before it has proved itself.
  explicit TrialControl(double exposureFraction)
      : ExposureFraction(exposureFraction) {}

  void onCommand(const RolloutCommand &order, core::Millis now);
  void onWithdrawn(const core::ServiceId &service);
  void onStatus(const RolloutStatus &status, core::Millis now);
  void onProgress(const RolloutProgress &progress, core::Millis now);

  /// Versions of a service that a request may go to.
  enum class Choice {
    Any,    ///< no roll-out concerns it
    Stable, ///< all but the target
    Target, ///< the target alone
  };
  struct Selection {
    Choice Versions = Choice::Any;
    core::VersionId Target;
  };
  /// `sessionHash` decides which side a new session is on.
  [[nodiscard]] Selection choose(const core::ServiceId &service,
                                 std::uint64_t sessionHash,
                                 core::Millis now) const;
  /// Whether a session with this hash goes to the target sooner or later in the
  /// present step.
  [[nodiscard]] bool isAssignedToTarget(const core::ServiceId &service,
                                        std::uint64_t sessionHash) const;
  /// The target of a roll-out that is under way.
  [[nodiscard]] std::optional<core::VersionId>
  activeTarget(const core::ServiceId &service) const;
  /// Versions that must not run any more, or not yet.
  [[nodiscard]] bool isBanned(const core::ServiceId &service,
                              const core::VersionId &version) const;
  /// The target of a roll-out that is under way in its first half: sessions
  /// keep to their side.
  [[nodiscard]] bool hasStickySessions(const core::ServiceId &service,
                                       core::Millis now) const;

  /// Evidence of all gateways on one service.
  struct Observation {
    RouteEvidenceTable Evidence;
    /// Requests that run on versions other than the target.
    std::size_t StableInFlight = 0;
    bool TargetHasRunner = false; ///< a runner of the target is registered
    /// This gateway's place among those alive; later ones act later.
    std::size_t Rank = 0;
  };
  /// The next record of a service's roll-out, if it is due.
  std::optional<TrialDecision> next(const core::ServiceId &service,
                                    const Observation &observation,
                                    core::Millis now) const;
  [[nodiscard]] std::vector<core::ServiceId> activeRollouts() const;
  /// The share of sessions that a roll-out under way gives its target.
  [[nodiscard]] double targetShare(const core::ServiceId &service) const;

private:
  struct Trial {
    RolloutCommand Order;
    core::Millis Began; ///< monotonic; of the order, as well as it is known
    std::optional<unsigned> Step;
    RolloutPhase Phase = RolloutPhase::InProgress;
    bool Recorded = false; ///< the store holds a record of it
    core::Millis BeginsAt; ///< sessions go to the target from then on
  };

  [[nodiscard]] const Trial *find(const core::ServiceId &service) const;

  double ExposureFraction;
  std::map<core::ServiceId, Trial> Trials;
  /// What the store said of a service, also before its order was heard.
  std::map<core::ServiceId, RolloutStatus> Statuses;
  std::map<core::ServiceId, std::pair<RolloutProgress, core::Millis>>
      Progresses;
  std::set<std::pair<core::ServiceId, core::VersionId>> Reverted;
};

} // namespace cowslipridge::rollout
