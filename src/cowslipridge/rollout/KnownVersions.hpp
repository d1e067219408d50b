#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <map>
#include <set>

namespace cowslipridge::rollout {

/// What is known of the versions of one service, from roll-outs, their records
/// and the runners that are registered.
class KnownVersions {
public:
  /// Time for which a version must be registered, without a roll-out, until it
  /// is known to serve beside others.
  static constexpr core::Millis SettledPeriod{10'000};

  using Versions = std::set<core::VersionId>;

  /// Handles that a roll-out to this version was reverted: it must not run.
  void onReverted(const core::VersionId &version);
  /// Handles that a roll-out to this version ended undecided.
  void onAbandoned(const core::VersionId &version);
  /// Handles a command for a roll-out to this version.
  void onCommanded(const core::VersionId &version) { Abandoned.erase(version); }
  /// Handles that this version serves without a trial.
  void onServing(const core::VersionId &version);
  /// Handles that these versions are registered while no roll-out is in
  /// progress.
  void onRegistered(const Versions &versions, core::Millis now);
  /// Handles that a roll-out is in progress: nothing settles meanwhile.
  void onRolloutInProgress() { RegisteredSince.clear(); }

  [[nodiscard]] bool isReverted(const core::VersionId &version) const {
    return Reverted.contains(version);
  }
  [[nodiscard]] bool isAbandoned(const core::VersionId &version) const {
    return Abandoned.contains(version);
  }
  [[nodiscard]] bool serves(const core::VersionId &version) const {
    return Serving.contains(version);
  }
  /// Returns the versions that are known to serve without a trial.
  [[nodiscard]] const Versions &serving() const { return Serving; }
  /// Returns the versions that are known to serve without a trial and that are
  /// among `registered`; all of them if none is. Empty: unknown.
  [[nodiscard]] Versions serving(const Versions &registered) const;

private:
  Versions Reverted;
  Versions Abandoned;
  Versions Serving;
  std::map<core::VersionId, core::Millis> RegisteredSince;
};

} // namespace cowslipridge::rollout
