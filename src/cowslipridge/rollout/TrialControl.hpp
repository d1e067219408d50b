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

/// Content of the next record of a roll-out.
struct TrialDecision {
  RolloutStatus Status;
  RolloutProgress Progress;
  std::string Reason;
};

/// Controls the roll-outs that operators command, jointly with the other
/// gateways.
///
/// The steps follow the time since the command: a small share of the sessions
/// goes to the target through the first half, then more, then all. Each gateway
/// derives the version of a session from the session id, so that gateways agree
/// without communicating. Any gateway may write the next record; the store
/// accepts one of them.
class TrialControl {
public:
  /// `exposureFraction` is the share of the requests of a service that a new
  /// version may get in the first step, before there is enough evidence on it.
  explicit TrialControl(double exposureFraction)
      : ExposureFraction(exposureFraction) {}

  void onCommand(const RolloutCommand &command, core::Millis now);
  void onWithdrawn(const core::ServiceId &service);
  void onStatus(const RolloutStatus &status, core::Millis now);
  void onProgress(const RolloutProgress &progress, core::Millis now);

  /// Versions of a service that a request may be sent to.
  enum class Choice {
    Any,    ///< all versions, since there is no roll-out
    Stable, ///< all versions except the target
    Target, ///< only the target
  };
  struct Selection {
    Choice Versions = Choice::Any;
    core::VersionId Target;
  };
  /// Returns the versions for a new session with this hash.
  [[nodiscard]] Selection choose(const core::ServiceId &service,
                                 std::uint64_t sessionHash,
                                 core::Millis now) const;
  /// Returns whether a session with this hash is assigned to the target in the
  /// present step, even if the switch to the target is not due yet.
  [[nodiscard]] bool isAssignedToTarget(const core::ServiceId &service,
                                        std::uint64_t sessionHash) const;
  /// Returns the target of the roll-out if one is in progress.
  [[nodiscard]] std::optional<core::VersionId>
  activeTarget(const core::ServiceId &service) const;
  /// Returns whether a roll-out to this version was reverted, so that the
  /// version must not run.
  [[nodiscard]] bool isBanned(const core::ServiceId &service,
                              const core::VersionId &version) const;
  /// Returns whether a roll-out is in its first half, in which sessions stay on
  /// the target or on the stable versions.
  [[nodiscard]] bool hasStickySessions(const core::ServiceId &service,
                                       core::Millis now) const;

  /// Input of next() for one service. The evidence is that of all gateways.
  struct Observation {
    RouteEvidenceTable Evidence;
    /// Number of requests that run on versions other than the target.
    std::size_t StableInFlight = 0;
    bool TargetHasRunner = false; ///< a runner of the target is registered
    /// Rank of this gateway among the live gateways; a higher rank acts later.
    std::size_t Rank = 0;
  };
  /// Returns the next record of the roll-out of a service if it is due.
  std::optional<TrialDecision> next(const core::ServiceId &service,
                                    const Observation &observation,
                                    core::Millis now) const;
  /// Returns the services with a roll-out in progress.
  [[nodiscard]] std::vector<core::ServiceId> activeRollouts() const;
  /// Returns the share of sessions that the roll-out assigns to its target.
  [[nodiscard]] double targetShare(const core::ServiceId &service) const;

private:
  struct Trial {
    RolloutCommand Command;
    core::Millis StartedAt; ///< monotonic; estimated time of the command
    std::optional<unsigned> Step;
    RolloutPhase Phase = RolloutPhase::InProgress;
    bool Recorded = false;   ///< the store holds a record of it
    core::Millis SwitchesAt; ///< when sessions start to go to the target
  };

  [[nodiscard]] const Trial *find(const core::ServiceId &service) const;

  double ExposureFraction;
  std::map<core::ServiceId, Trial> Trials;
  /// Latest stored status of each service, also if received before its command.
  std::map<core::ServiceId, RolloutStatus> Statuses;
  std::map<core::ServiceId, std::pair<RolloutProgress, core::Millis>>
      Progresses;
  std::set<std::pair<core::ServiceId, core::VersionId>> Reverted;
};

} // namespace cowslipridge::rollout
