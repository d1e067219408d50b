#pragma once

#include "cowslipridge/config/Declaration.hpp"
#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// Which versions answer a request, and which runner: pure decisions.
namespace cowslipridge::route {

/// What is known of one request before it is routed.
struct RequestContext {
  core::RequestId Request;
  core::OrganisationId Organisation;
  core::ServiceId Service;
  std::string RequestClass; ///< coarse kind, such as a prompt-length bucket
  std::uint64_t PromptTokens = 0; ///< estimate
  /// Hashes of the prompt's leading blocks, each covering all before it.
  std::vector<std::uint64_t> PrefixHashes;
  std::optional<core::VersionId> PinnedVersion; ///< from its session
  bool Stream = false;
  core::Millis Remaining; ///< until its deadline
};

/// One version answers.
struct SinglePlan {
  core::VersionId Version;
  friend auto operator<=>(const SinglePlan &, const SinglePlan &) = default;
};

/// `Cheap` answers; when the check finds it wanting, `Better` answers instead.
struct CascadePlan {
  core::VersionId Cheap;
  core::VersionId Better;
  double AcceptAbove = 0; ///< check score in 0..1 that keeps the cheap answer
  friend auto operator<=>(const CascadePlan &, const CascadePlan &) = default;
};

/// Nothing may run; `Reason` says why.
struct NoPlan {
  core::Errc Reason = core::Errc::NotAllowed;
  friend auto operator<=>(const NoPlan &, const NoPlan &) = default;
};

using Plan = std::variant<SinglePlan, CascadePlan, NoPlan>;

/// What an entry knows of one runner now.
struct RunnerView {
  core::RunnerId Runner;
  core::FailureDomainId Domain;
  std::vector<core::VersionId> Versions;
  unsigned InFlight = 0; ///< the sidecar's own count, last heard
  unsigned SentSinceReport =
      0; ///< requests this entry sent and has not heard of
  unsigned Queued = 0;
  unsigned ConcurrencyLimit = 1;
  core::Millis PredictedWait;    ///< the sidecar's own, last heard
  core::Millis ReportReceivedAt; ///< monotonic
  bool Draining = false;
  bool SuspectedFailed = false; ///< recent time-outs or lost connection
};

/// Versions that evidence has cut off, for all or for one organisation.
struct CutOffKey {
  core::ServiceId Service;
  core::VersionId Version;
  core::OrganisationId Organisation; ///< empty: all organisations
  friend auto operator<=>(const CutOffKey &, const CutOffKey &) = default;
};

using CutOffSet = std::set<CutOffKey>;

} // namespace cowslipridge::route
