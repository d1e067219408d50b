#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/rollout/ExposureBudget.hpp"
#include "cowslipridge/rollout/KnownVersions.hpp"
#include "cowslipridge/rollout/Trial.hpp"
#include "cowslipridge/rollout/TrialReview.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
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
/// A small share of the sessions goes to the target through the first half of
/// the time, then more, then all. The target gets more only once it is shown to
/// serve as well as the stable versions, or if the permitted exposure suffices
/// for an unproved version. Each gateway
/// derives the version of a session from the session id, so that gateways agree
/// without communicating. Any gateway may write the next record; the store
/// accepts one of them.
///
/// A roll-out never goes back: when the store lists older records or commands
/// because it was restored from a copy, the later ones stay in force here, and
/// the gateways write the lost record again.
class TrialControl {
public:
  /// `exposure` bounds the requests of a service that a new version may get
  /// until there is enough evidence on it.
  explicit TrialControl(const ExposureLimit &exposure) : Exposure(exposure) {}

  /// Time for operators to write their commands again after a restore. Until
  /// then, another command of the copy does not replace the one in force.
  static constexpr core::Millis CommandRewritePeriod{5'000};
  /// Time after a restore without new decisions, in which gateways write again
  /// the records that the store has lost.
  static constexpr core::Millis RecordRewritePeriod{1'500};

  void onCommand(const RolloutCommand &command, core::Millis now);
  void onWithdrawn(const core::ServiceId &service);
  /// Handles that all runners of a service have the same version. One that
  /// isn't on trial then is known to serve: a command to go to it takes the
  /// service back, and needs no trial.
  void onOnlyVersion(const core::ServiceId &service,
                     const core::VersionId &version);
  /// Handles the versions of all registered runners of a service.
  void onRegistered(const core::ServiceId &service,
                    const std::set<core::VersionId> &versions,
                    core::Millis now);
  void onStatus(const RolloutStatus &status, core::Millis now);
  void onProgress(const RolloutProgress &progress, core::Millis now);
  /// Handles the complete list of the store's commands and records.
  void onListed(const RolloutList &list, core::Millis now);
  /// Merges what another gateway knows about the roll-outs in force here.
  void onPeerKnowledge(const std::vector<RolloutKnowledge> &known,
                       core::Millis now);
  /// Returns what this gateway knows about the roll-outs with a record.
  [[nodiscard]] std::vector<RolloutKnowledge> knowledge(core::Millis now) const;
  /// Applies the commands of a restored copy that are due, and returns the
  /// services concerned.
  std::vector<core::ServiceId> tick(core::Millis now);

  /// Versions of a service that a request may be sent to.
  enum class Choice {
    Any,    ///< all versions, since there is no roll-out
    Stable, ///< all versions except the target and unproved ones
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
  /// Returns whether other versions are known to serve and this one isn't, for
  /// example because a roll-out to it was replaced before it ended. An unproved
  /// version is no stable one.
  [[nodiscard]] bool isUnproved(const core::ServiceId &service,
                                const core::VersionId &version) const;
  /// Returns whether a roll-out is in its first half, in which sessions stay on
  /// the target or on the stable versions.
  [[nodiscard]] bool hasStickySessions(const core::ServiceId &service,
                                       core::Millis now) const;

  using Observation = TrialObservation;
  /// Stops this gateway from sending sessions to the target until the roll-out
  /// is completed, as the target is to be reverted. The record may take a
  /// while.
  void suspend(const core::ServiceId &service);
  /// Returns the next record of the roll-out of a service if it is due.
  std::optional<TrialDecision> next(const core::ServiceId &service,
                                    const Observation &observation,
                                    core::Millis now) const;
  /// Returns the services with a roll-out in progress, or with one whose record
  /// the store has lost.
  [[nodiscard]] std::vector<core::ServiceId> undecidedRollouts() const;
  /// Returns the services with a roll-out in progress.
  [[nodiscard]] std::vector<core::ServiceId> activeRollouts() const;
  /// Returns the commands of the roll-outs in progress.
  [[nodiscard]] std::vector<RolloutCommand> activeCommands() const;
  /// Returns the share of sessions that the roll-out assigns to its target.
  [[nodiscard]] double targetShare(const core::ServiceId &service) const;

private:
  /// A command of a restored copy, which may be older than the one in force.
  struct HeldCommand {
    RolloutCommand Command;
    core::Millis AppliesAt;
  };

  [[nodiscard]] const Trial *find(const core::ServiceId &service) const;
  /// Returns what is known of the versions of a service; null if nothing is.
  [[nodiscard]] const KnownVersions *
  knownVersions(const core::ServiceId &service) const;
  /// Returns the versions to name as serving in the record of a roll-out.
  [[nodiscard]] std::set<core::VersionId>
  servingVersions(const Trial &trial, const Observation &observation) const;
  /// Returns the roll-out of a service if it is to this target.
  Trial *findTo(const core::ServiceId &service, const core::VersionId &target);
  void recordPhase(Trial &trial, RolloutPhase phase, core::Millis now);
  static void recordStep(Trial &trial, unsigned step, core::Millis now);
  /// Learns which versions serve from the record of a roll-out.
  void recordServing(const RolloutProgress &progress);
  /// Learns from the record of a roll-out that a new command replaces.
  void onReplacedRecord(const RolloutCommand &command);
  /// Records that the roll-out in force, if there is one, ends undecided.
  void abandon(const core::ServiceId &service);
  void onListedCommand(const RolloutCommand &command, core::Millis now);
  /// Returns whether the store has lost the record of a roll-out.
  [[nodiscard]] bool isRecordLost(const Trial &trial) const;

  ExposureLimit Exposure;
  std::map<core::ServiceId, Trial> Trials;
  /// Stored status and progress of each service, also if received before its
  /// command.
  std::map<core::ServiceId, RolloutStatus> Statuses;
  std::map<core::ServiceId, std::pair<RolloutProgress, core::Millis>>
      Progresses;
  std::map<core::ServiceId, KnownVersions> Versions;
  std::map<core::ServiceId, HeldCommand> HeldCommands;
  std::optional<core::Millis> RestoredAt;
};

} // namespace cowslipridge::rollout
