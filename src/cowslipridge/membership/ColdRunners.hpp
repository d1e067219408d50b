#pragma once

#include "cowslipridge/membership/BackendServer.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace cowslipridge::membership {

/// What a gateway knows of the cold phase of one incarnation of a runner, as
/// gateways report it to each other.
struct ColdRunner {
  core::RunnerId Runner;
  core::Millis StartedAt; ///< Unix time; identifies the incarnation
  /// The rest of the cold phase; none while the runner is suspected: it was out
  /// of reach, and may be cold when it is back.
  std::optional<core::Millis> Remaining;
  friend auto operator<=>(const ColdRunner &, const ColdRunner &) = default;
};

/// What a gateway reports of cold runners.
struct ColdReport {
  /// Whether the gateway has been running for long enough to know them.
  bool Settled = false;
  std::vector<ColdRunner> Runners;
  friend auto operator<=>(const ColdReport &, const ColdReport &) = default;
};

/// How far a runner has warmed up. After the cold phase its load rises in
/// steps.
enum class WarmUpStep { Cold, FirstStep, SecondStep, Warm };

/// Tracks the runners that are cold: just started, or out of reach until a
/// moment ago and therefore possibly restarted. What is not known counts as
/// cold.
class ColdRunners {
public:
  /// Duration of each step between the cold phase and the whole load.
  static constexpr core::Millis StepDuration{500};
  /// Time after which a suspicion that no peer reports any more counts as over.
  static constexpr core::Millis ReportLifetime{2'000};
  /// Time for which removed runners are remembered: outages of a domain are
  /// shorter.
  static constexpr core::Millis RemovedRetention{120'000};
  /// Returns the cold phase of a runner's service.
  using ColdStartOf = std::function<core::Millis(const core::RunnerId &)>;

  /// Handles an entry that the store sent. It names the rest of the cold phase.
  void onEntry(const BackendServer &server, core::Millis now);
  /// The runner is cold from now on, for `coldStart`.
  void setCold(const BackendServer &server, core::Millis coldStart,
               core::Millis now);
  /// This gateway has just started and knows the runner from a listing only:
  /// counts it as cold for `coldStart`, or until a peer knows more.
  void assumeCold(const BackendServer &server, core::Millis coldStart,
                  core::Millis now);
  /// Handles an attempt that did not reach the runner. Returns whether the
  /// runner is suspected from now on.
  bool onUnreachable(const core::RunnerId &runner, core::Millis startedAt,
                     core::Millis now);
  /// Handles a response to a request that was sent at `sentAt`. A runner that
  /// answers what it got before it was suspected has not restarted; any other
  /// one is cold from now on, for `coldStart`. Returns whether that is new.
  bool onResponse(const core::RunnerId &runner, core::Millis startedAt,
                  core::Millis sentAt, core::Millis coldStart,
                  core::Millis now);
  /// Handles the report of a peer. Unknown incarnations are ignored. One that
  /// has reached the runner since this gateway suspected it ends the suspicion.
  void onPeerReport(const ColdReport &report, const ColdStartOf &of,
                    core::Millis now);
  /// Handles that the entry of the runner is gone. What is known of the
  /// incarnation holds on for a while: the entry may only have expired.
  void removeRunner(const core::RunnerId &runner);

  [[nodiscard]] bool isSuspected(const core::RunnerId &runner) const;
  /// Returns whether the runner counts as cold only because this gateway has
  /// just started.
  [[nodiscard]] bool isAssumed(const core::RunnerId &runner,
                               core::Millis now) const;
  [[nodiscard]] WarmUpStep step(const core::RunnerId &runner,
                                core::Millis now) const;
  /// Returns the runners that this gateway suspects, and those that it has
  /// found cold. Peers know the others from their entries: in a roll-out these
  /// are as many as the runners of a service.
  [[nodiscard]] ColdReport report(core::Millis now) const;
  /// Ends the suspicions of peers that are gone: their runners count as cold
  /// for `coldStart` of their service.
  void tick(const ColdStartOf &of, core::Millis now);

private:
  struct Record {
    core::Millis StartedAt;
    std::optional<core::Millis> ColdUntil;
    /// The cold phase follows from a response here, not from the entry.
    bool IsOwnFinding = false;
    core::Millis AssumedUntil; ///< not reported: nothing is known
    /// Time of the first attempt that did not reach it; none unless suspected.
    std::optional<core::Millis> SuspectedSince;
    /// Last report of a peer, if only peers suspect the runner.
    std::optional<core::Millis> ReportedAt;
    std::uint64_t Sequence = 0; ///< of the last entry
    bool Removed = false;
    std::optional<core::Millis> RemovedAt; ///< set by the next tick
  };

  void apply(const ColdRunner &reported, const ColdStartOf &of,
             core::Millis now);
  static void setColdUntil(Record &record, core::Millis until);
  void restore(const BackendServer &server, core::Millis now);
  static Record makeRecord(core::Millis startedAt);
  /// Returns the record of the incarnation, or null if a later one is known.
  Record *recordOf(const core::RunnerId &runner, core::Millis startedAt);

  std::map<core::RunnerId, Record> Records;
};

} // namespace cowslipridge::membership
