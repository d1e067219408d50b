#pragma once

#include "cowslipridge/catalogue/CatalogueIndex.hpp"
#include "cowslipridge/gateway/CallerRequest.hpp"
#include "cowslipridge/route/ModelCascade.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cowslipridge::gateway {

/// What is fixed about one request when it arrives.
struct RequestFacts {
  CallerRequest Caller;
  catalogue::CataloguePtr Catalogue; ///< the one that was in force on arrival
  const catalogue::Route *Route = nullptr;               ///< in `Catalogue`
  const catalogue::Organisation *Organisation = nullptr; ///< null: public
  core::Millis ArrivedAt;
  core::Millis Deadline; ///< monotonic; when the caller must have its answer
};

/// Index into the route's models, or none when the caller named the model.
using ModelTier = std::optional<std::size_t>;

/// A stream is given so long for an event at least, whatever was forecast.
inline constexpr core::Millis LeastStreamPatience{1'500};
/// Refused callers come back after this time at the earliest: a runner that was
/// full may have room again.
inline constexpr core::Millis EarliestReturn{150};

/// What a sending is to the budget for repeats.
enum class SendKind {
  First,    ///< the request's first
  Another,  ///< those before reached no runner
  Repeat,   ///< a runner may have got the request; the budget must bear it
  Escalate, ///< a larger model after a doubted answer; the budget must bear it
};

/// A short name for logs and metrics.
std::string_view toString(SendKind kind);

/// One runner that a request is to be sent to.
struct Placement {
  std::uint64_t Ticket = 0; ///< names this sending in later reports
  core::ServiceId Service;
  core::RunnerId Runner;
  core::VersionId Version;
  std::string Host;
  std::uint16_t Port = 0;
  ModelTier Tier;
  std::size_t MaxConnections = 1; ///< of this gateway to the runner
  /// Without any sign of the answer for so long, the runner counts as silent.
  core::Millis Patience;
  core::Millis PredictedFirstByte;
  // What decided, for the log.
  SendKind Kind = SendKind::First;
  std::uint64_t UncachedTokens = 0; ///< of the prompt, as forecast
  core::Millis PeersAge; ///< of the oldest report on peers' load in use
};

/// There is no place now.
struct NoPlacement {
  std::string Reason;      ///< for the log
  core::Millis RetryAfter; ///< when there may be one
};

using PlacementResult = std::variant<Placement, NoPlacement>;

/// How one sending ended.
enum class SendOutcome {
  Served,       ///< whole and good
  Unreachable,  ///< no connection, or another runner there: not run
  Rejected,     ///< the runner promised that it did not run
  FailedAnswer, ///< the runner answered that it failed
  Broken,       ///< broke off, or bytes that are no answer
  Silent,       ///< gave no sign within the patience
  Dropped,      ///< ended by us for reasons that say nothing of the runner
};

/// A short name for logs and metrics.
std::string_view toString(SendOutcome outcome);

/// Which tier answers after one has, and why.
struct TierChoice {
  std::size_t Tier = 0;
  bool Doubted = false; ///< with time to spare it would not be kept
  /// What the larger model could do; nothing when no runner serves it.
  std::optional<route::TierForecast> Larger;
};

/// Port to the decisions that concern more than one request.
class Placer {
public:
  virtual ~Placer() = default;
  /// A runner for the request, none of `excluded`.
  virtual PlacementResult place(const RequestFacts &facts, ModelTier tier,
                                const std::vector<core::RunnerId> &excluded,
                                SendKind kind, core::Millis now) = 0;
  /// The tier that answers first.
  virtual ModelTier firstTier(const RequestFacts &facts, core::Millis now) = 0;
  /// The tier to ask instead, after `tier` answered with this confidence; the
  /// same when its answer is to be kept.
  virtual TierChoice betterTier(const RequestFacts &facts, std::size_t tier,
                                int confidence, core::Millis now) = 0;
  /// The first sign of an answer.
  virtual void onFirstByte(std::uint64_t ticket, core::Millis now) = 0;
  /// Whole events of a stream came.
  virtual void onEvents(std::uint64_t ticket, unsigned events,
                        core::Millis now) = 0;
  virtual void onEnded(std::uint64_t ticket, SendOutcome outcome,
                       core::Millis now) = 0;
};

} // namespace cowslipridge::gateway
