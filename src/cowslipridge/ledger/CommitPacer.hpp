#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <cstddef>

namespace cowslipridge::ledger {

/// How commits share the store's writes among all ledgers of the fleet.
struct PacerSettings {
  core::Millis MinInterval{2}; ///< between commits, whatever waits
  core::Millis MaxInterval{
      1'000}; ///< longest wait of a record, when affordable
  unsigned FleetWritesPerSecond = 250; ///< budget of all ledgers together
  unsigned Burst = 8; ///< commits that an idle ledger may make back to back
};

/// How soon the queued records should be committed.
enum class CommitNeed {
  Later, ///< bills: nobody waits
  Soon,  ///< outcomes: at once while commits are to spare
  Now,   ///< claims and pins: a caller waits
};

/// Decides when the next commit may start. Each ledger earns commits at its
/// part of the fleet's budget and saves up to a burst of them, so that a rare
/// claim is committed at once. Commits that no caller waits for leave half of
/// the burst to those that one does.
class CommitPacer {
public:
  explicit CommitPacer(PacerSettings settings);

  void setFleetSize(std::size_t ledgers);
  /// The earliest time for a commit of records of which the oldest came at
  /// `oldest`.
  [[nodiscard]] core::Millis commitAt(CommitNeed need,
                                      core::Millis oldest) const;
  void onCommit(core::Millis now);

private:
  [[nodiscard]] core::Millis earnedAt(double commits) const;
  [[nodiscard]] double creditAt(core::Millis now) const;

  PacerSettings Settings;
  double MillisPerCommit = 0;
  double Credit = 0; ///< commits saved at LastUpdate
  core::Millis LastUpdate;
  core::Millis NextAllowed;
};

} // namespace cowslipridge::ledger
