#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <cstddef>

namespace cowslipridge::ledger {

/// Limits the rate of commits, so that all ledgers of the fleet together keep
/// within the store's write budget.
struct PacerSettings {
  core::Millis MinInterval{2};     ///< between two commits
  core::Millis MaxInterval{1'000}; ///< longest delay while within the budget
  unsigned FleetWritesPerSecond = 250; ///< of all ledgers together
  unsigned Burst = 8; ///< commits in a row after an idle period
};

/// Urgency of the commit of the queued records.
enum class CommitUrgency {
  Later, ///< bills: no caller waits
  Soon,  ///< outcomes: at once while over half of the burst is left
  Now,   ///< claims and pins: a caller waits
};

/// Decides when the next commit may start, by a token bucket. Each ledger earns
/// commits at its share of the fleet's budget and saves up to a burst of them,
/// so that an infrequent claim is committed at once. Commits for which no
/// caller waits leave half of the burst to those for which one does.
class CommitPacer {
public:
  explicit CommitPacer(PacerSettings settings);

  void setFleetSize(std::size_t ledgers);
  /// Returns the earliest time for a commit of the queued records; `oldest` is
  /// the time at which the first of them was queued.
  [[nodiscard]] core::Millis commitAt(CommitUrgency urgency,
                                      core::Millis oldest) const;
  void onCommit(core::Millis now);

private:
  [[nodiscard]] core::Millis earnedAt(double commits) const;
  [[nodiscard]] double creditAt(core::Millis now) const;

  PacerSettings Settings;
  double MillisPerCommit = 0;
  double Credit = 0; ///< commits available at LastUpdate
  core::Millis LastUpdate;
  core::Millis NextAllowed;
};

} // namespace cowslipridge::ledger
