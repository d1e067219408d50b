#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/gateway/NotRunStatement.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipridge::gateway {

/// One segment of a prompt. Requests whose prompts have a common prefix share
/// the segments of that prefix.
struct PromptPart {
  std::uint64_t Id = 0;
  std::uint64_t Tokens = 0;
  friend auto operator<=>(const PromptPart &, const PromptPart &) = default;
};

/// The attributes that a caller states in its request.
struct CallerRequest {
  core::RequestId Id; ///< of this call of the caller; empty if none was given
  std::string Host;
  std::string Path;                         ///< without the query
  std::optional<std::string> ApiKey;        ///< as received, not validated
  std::optional<core::Millis> Remaining;    ///< until the caller's own deadline
  std::optional<std::uint64_t> LastEventId; ///< resume the stream after it
  /// Whether any model of the route may answer, or only `Model`.
  bool AnyModel = false;
  std::string Model;
  std::uint64_t PromptTokens = 0;
  std::uint64_t MaxOutputTokens = 0;
  /// The caller's own estimate: about right in the median, often far off for a
  /// single request.
  std::optional<std::uint64_t> EstimatedOutputTokens;
  std::vector<PromptPart> Prompt;
  core::SessionId Session; ///< empty if the request belongs to no session
  /// Digest of what the request asks for; see contentDigest().
  std::uint64_t Content = 0;
};

/// The attributes that the gateway adds to a request which it relays.
struct RelayAttributes {
  /// The intended runner; any other one rejects the request.
  core::RunnerId Runner;
  std::optional<core::OrganisationId> Organisation;
  core::Millis Remaining;
  std::optional<std::string> Model;
  std::optional<std::uint64_t> LastEventId;
  int Urgency = 5; ///< 0 is served first, 9 last
  /// HOST:PORT of a runner from which the addressed one fetches what it lacks
  /// of the prompt's cached prefix.
  std::optional<std::string> PrefixSource;
};

/// The attributes in the head of a runner's response.
struct ResponseAttributes {
  int Status = 0;
  bool Authentic = false; ///< carries the runner's valid signature
  std::optional<NotRunStatement> NotRun;
  /// Why a success is no answer to its request, for the log; empty if it is
  /// one.
  std::string_view Flaw;
  /// The model's confidence in its answer, 0..100.
  std::optional<int> Confidence;
  core::RequestId Id; ///< of the request that was answered; may be empty
  /// The runner shuts down soon and wants no new requests.
  bool RunnerLeaving = false;
  /// The runner wants no requests from this gateway for this time.
  std::optional<core::Millis> Backoff;
  /// Requests a second that the runner takes from all gateways together, as
  /// long as its responses say so.
  std::optional<double> RateLimit;
};

} // namespace cowslipridge::gateway
