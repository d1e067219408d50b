#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cowslipridge::limits {

/// What a runner states about the rate of requests that it takes from all
/// gateways together.
struct RateLimitStatement {
  core::RunnerId Runner;
  std::optional<double> PerSecond; ///< none: it takes any rate
  friend auto operator<=>(const RateLimitStatement &,
                          const RateLimitStatement &) = default;
};

/// A statement as gateways report it to each other.
struct ReportedRateLimit {
  RateLimitStatement Statement;
  core::Millis Age; ///< since the runner's response
  friend auto operator<=>(const ReportedRateLimit &,
                          const ReportedRateLimit &) = default;
};

/// The rate at which all gateways together may load a runner that is cold.
struct ColdLimit {
  double PerSecond = 0;
  /// Gateways that may use the runner: each of them may have saved up one
  /// request when the runner turns cold.
  unsigned MaxGateways = 1;
  /// The runner is only assumed to be cold, as this gateway has just started.
  bool IsAssumed = false;
  friend auto operator<=>(const ColdLimit &, const ColdLimit &) = default;
};

/// This gateway's part of the rates at which runners may be loaded. A rate has
/// two sources, of which the smaller one applies: what the runner states in its
/// responses, which holds until it states another one, or none; and its cold
/// phase.
///
/// Each gateway has an even share of a limit and saves up at most one request.
/// So that the saved requests of a large fleet don't exceed a small limit
/// together, only a few gateways use such a runner: all agree on them by
/// rendezvous hashing.
class RunnerRateLimits {
public:
  void setGateways(const core::InstanceId &own,
                   const std::set<core::InstanceId> &others);
  /// Handles the statement of a response that arrived at `at`, here or at
  /// another gateway. Ignores it if a later one is known. Returns whether the
  /// limit changed.
  bool onStatement(const RateLimitStatement &statement, core::Millis at,
                   core::Millis now);
  /// Sets the limit of the runner's cold phase, or ends it.
  void setColdLimit(const core::RunnerId &runner,
                    const std::optional<ColdLimit> &limit, core::Millis now);
  /// A request was sent to the runner.
  void onSent(const core::RunnerId &runner, core::Millis now);
  void removeRunner(const core::RunnerId &runner) { Limits.erase(runner); }
  /// Returns the time until this gateway may send the runner a request; zero if
  /// it may now.
  [[nodiscard]] core::Millis remaining(const core::RunnerId &runner,
                                       core::Millis now) const;
  /// Returns whether the runner may be sent requests over its limit if all
  /// others are used up: the limit rests on an assumption alone.
  [[nodiscard]] bool mayExceed(const core::RunnerId &runner) const;
  /// Returns the limits, and those that ended a short time ago.
  [[nodiscard]] std::vector<ReportedRateLimit> report(core::Millis now) const;
  /// Returns the number of runners that state a limit.
  [[nodiscard]] std::size_t limited() const;
  /// Returns the number of runners that are limited because they are cold.
  [[nodiscard]] std::size_t cold() const;
  /// Erases limits that ended.
  void tick(core::Millis now);

private:
  struct Limit {
    std::optional<double> Stated; ///< requests a second
    core::Millis StatedAt;
    std::optional<core::Millis> StatementEndedAt;
    std::optional<ColdLimit> Cold;
    double Share = 0;  ///< of this gateway, in requests a second
    double Tokens = 0; ///< requests that may be sent, as of FilledAt
    core::Millis FilledAt;

    /// Returns the rate that applies; none if there is no limit.
    [[nodiscard]] std::optional<double> perSecond() const;
  };

  /// The gateways that use a runner, and this gateway's place among all.
  struct Users {
    double Count = 1;
    double Position = 0; ///< 0 is the first; not below Count: it is none
    [[nodiscard]] bool includesOwn() const { return Position < Count; }
  };
  [[nodiscard]] Users usersOf(const core::RunnerId &runner,
                              const Limit &limit) const;
  /// Applies a change of the limit's sources.
  void update(const core::RunnerId &runner, Limit &limit, double tokens,
              core::Millis now);
  void setShare(const core::RunnerId &runner, Limit &limit);
  static double tokensAt(const Limit &limit, core::Millis now);

  core::InstanceId Own;
  std::set<core::InstanceId> Others;
  std::map<core::RunnerId, Limit> Limits;
};

} // namespace cowslipridge::limits
