#pragma once

#include "cowslipridge/catalogue/CatalogueIndex.hpp"
#include "cowslipridge/gateway/CallerRequest.hpp"
#include "cowslipridge/gateway/RecentRequests.hpp"
#include "cowslipridge/limits/RunnerBackoff.hpp"
#include "cowslipridge/limits/RunnerRateLimits.hpp"
#include "cowslipridge/route/ModelCascade.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cowslipridge::gateway {

/// One request with everything that is fixed on its arrival.
struct RequestContext {
  CallerRequest Caller;
  catalogue::CataloguePtr Catalogue;       ///< the version in force on arrival
  const catalogue::Route *Route = nullptr; ///< points into `Catalogue`
  const catalogue::Organisation *Organisation = nullptr; ///< null if public
  core::Millis ArrivedAt;
  core::Millis Deadline; ///< monotonic; the caller needs the response by then
  /// Of earlier requests with the same id.
  EarlierAttempts Earlier = {};

  [[nodiscard]] RequestKey key() const {
    return {Organisation == nullptr ? core::OrganisationId()
                                    : Organisation->Name,
            Caller.Id};
  }
};

/// Index into the route's models; none when the caller named the model.
using ModelTier = std::optional<std::size_t>;

/// Lower bound on the first-byte timeout and the idle timeout of a stream, even
/// when the forecast is shorter.
inline constexpr core::Millis MinStreamIdleTimeout{1'500};
/// No attempt is started with less time than this until the deadline: no runner
/// would respond in time.
inline constexpr core::Millis MinUsefulTime{20};
/// Minimum Retry-After for rejected callers: by then, a runner that was full
/// may have capacity again.
inline constexpr core::Millis MinRetryAfter{150};

/// How an attempt counts against the retry budget.
enum class AttemptKind {
  First,    ///< the first attempt of a request
  Failover, ///< no earlier one arrived at a runner; not charged to the budget
  Retry,    ///< a runner may have the request; charged to the budget
  /// The same, and the last runner that is excluded was given up without a
  /// response.
  RetryUnanswered,
  Escalate, ///< to a larger model on low confidence; charged to the budget
};

/// Returns whether the attempt is charged to the retry budget.
[[nodiscard]] constexpr bool isRetry(AttemptKind kind) {
  return kind != AttemptKind::First && kind != AttemptKind::Failover;
}

/// Returns the name that logs and metrics use for the kind.
std::string_view toString(AttemptKind kind);

/// The runner chosen for one attempt of a request.
struct Placement {
  std::uint64_t Ticket = 0; ///< identifies the attempt in later calls
  core::ServiceId Service;
  core::RunnerId Runner;
  core::VersionId Version;
  std::string Host;
  std::uint16_t Port = 0;
  ModelTier Tier;
  /// HOST:PORT of the runner from which the chosen one fetches the cached
  /// prefix of the prompt.
  std::optional<std::string> PrefixSource;
  std::size_t MaxConnections = 1; ///< from this gateway to the runner
  /// The runner counts as unresponsive when no byte of its response has arrived
  /// within this time.
  core::Millis FirstByteTimeout;
  core::Millis PredictedFirstByte;
  int Urgency = 0; ///< for the engine: 0 is served first, 9 last
  // The reasons for the decision, for the log.
  AttemptKind Kind = AttemptKind::First;
  std::uint64_t UncachedTokens = 0; ///< of the prompt, forecast
  std::uint64_t FetchedTokens = 0;  ///< from PrefixSource, forecast
  core::Millis PeerLoadAge;         ///< of the oldest peer load report in use
  double RunnerSlowness = 1;        ///< factor in PredictedFirstByte
  unsigned RunnerLoad = 0;          ///< requests at the runner
};

/// No runner can take the request now.
struct NoPlacement {
  std::string Reason;      ///< for the log
  core::Millis RetryAfter; ///< when the caller may try again
};

using PlacementResult = std::variant<Placement, NoPlacement>;

/// How one attempt ended.
enum class AttemptOutcome {
  Served,        ///< complete response without an error
  Unreachable,   ///< no connection, or another runner there; not executed
  Rejected,      ///< the runner guarantees that it did not execute it
  ErrorResponse, ///< the runner responded with a server error
  Broken,        ///< the connection broke, or the response was invalid
  TimedOut,      ///< no byte arrived within the timeout
  Cancelled,     ///< by the gateway; no evidence about the runner
};

/// Returns the name that logs and metrics use for the outcome.
std::string_view toString(AttemptOutcome outcome);

/// Whether a larger model is queried after a smaller one has answered.
struct EscalationDecision {
  std::size_t Tier = 0;       ///< the same tier when the answer is accepted
  bool LowConfidence = false; ///< would be escalated if the deadline allowed
  /// Forecast for the larger model; empty when no runner serves it.
  std::optional<route::TierForecast> Larger;
};

/// A runner announced in a response that it shuts down soon.
struct LeavingAnnounced {
  core::RunnerId Runner;
  friend auto operator<=>(const LeavingAnnounced &,
                          const LeavingAnnounced &) = default;
};

/// A runner is out of reach and may have restarted: until more is known, it
/// counts as cold.
struct RunnerSuspected {
  core::RunnerId Runner;
  friend auto operator<=>(const RunnerSuspected &,
                          const RunnerSuspected &) = default;
};

/// A runner is cold: its entry says so, or it responds again.
struct RunnerCold {
  core::RunnerId Runner;
  core::Millis Remaining;
  double PerSecond = 0; ///< requests that all gateways together may send it
  friend auto operator<=>(const RunnerCold &, const RunnerCold &) = default;
};

/// What a runner states about itself, or what its responses show.
using RunnerNotice =
    std::variant<LeavingAnnounced, limits::BackoffRequest,
                 limits::RateLimitStatement, RunnerSuspected, RunnerCold>;

/// Interface to the decisions that depend on more than one request: where each
/// attempt goes and whether the retry budget allows it.
class PlacementPolicy {
public:
  virtual ~PlacementPolicy() = default;
  /// Chooses a runner for the request, none of `excluded`.
  virtual PlacementResult place(const RequestContext &request, ModelTier tier,
                                const std::vector<core::RunnerId> &excluded,
                                AttemptKind kind, core::Millis now) = 0;
  /// Returns the reason why no runner may get, or go on with, the request, if
  /// there is one.
  [[nodiscard]] virtual std::optional<NoPlacement>
  refusal(const RequestContext &request, core::Millis now) const = 0;
  /// Returns the tier that is queried first.
  virtual ModelTier firstTier(const RequestContext &request,
                              core::Millis now) = 0;
  /// Decides whether a larger tier is queried after `tier` answered with this
  /// confidence.
  virtual EscalationDecision decideEscalation(const RequestContext &request,
                                              std::size_t tier, int confidence,
                                              core::Millis now) = 0;
  /// The head of the response arrived.
  virtual void onHead(std::uint64_t ticket, const ResponseAttributes &response,
                      core::Millis now) = 0;
  /// Returns when a caller whose request was not executed may try again.
  [[nodiscard]] virtual core::Millis retryAfter(const RequestContext &request,
                                                core::Millis now) const = 0;
  /// Complete events of a stream arrived.
  virtual void onEvents(std::uint64_t ticket, unsigned events,
                        core::Millis now) = 0;
  /// The attempt ended; its ticket is no longer valid.
  virtual void onEnded(std::uint64_t ticket, AttemptOutcome outcome,
                       core::Millis now) = 0;
};

} // namespace cowslipridge::gateway
