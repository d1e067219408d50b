#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cowslipridge::gateway {

/// One part of a prompt; requests whose prompts begin alike share parts.
struct PromptPart {
  std::uint64_t Id = 0;
  std::uint64_t Tokens = 0;
  friend auto operator<=>(const PromptPart &, const PromptPart &) = default;
};

/// What a caller's request says of itself.
struct CallerRequest {
  core::RequestId Id; ///< of this attempt of the caller; empty: none given
  std::string Host;
  std::string Path;                         ///< without the query
  std::optional<std::string> ApiKey;        ///< as given, valid or not
  std::optional<core::Millis> Remaining;    ///< how long the caller waits
  std::optional<std::uint64_t> LastEventId; ///< a stream is to go on after it
  /// Any model of the route may answer, or only the one that is named.
  bool AnyModel = false;
  std::string Model;
  std::uint64_t PromptTokens = 0;
  std::uint64_t MaxOutputTokens = 0;
  /// The caller's own guess; good in the middle, often far off.
  std::optional<std::uint64_t> EstimatedOutputTokens;
  std::vector<PromptPart> Prompt;
  core::SessionId Session; ///< empty: none
};

/// What the gateway tells a runner about a request that it relays.
struct RelayAttributes {
  core::RunnerId Runner; ///< any other runner refuses
  std::optional<core::OrganisationId> Organisation;
  core::Millis Remaining;
  std::optional<std::string> Model;
  std::optional<std::uint64_t> LastEventId;
  int Urgency = 5; ///< 0 is first, 9 last
};

/// What the head of a runner's answer says.
struct ResponseAttributes {
  int Status = 0;
  bool Authentic = false;        ///< bears the runner's signature
  bool NotRun = false;           ///< the runner promises that it did not run it
  std::optional<int> Confidence; ///< the model's opinion of its answer, 0..100
  core::RequestId Id;            ///< the request that it answers; may be empty
};

} // namespace cowslipridge::gateway
