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

/// Selects the model version and the runner for a request. Performs no I/O.
namespace cowslipridge::route {

/// Attributes of one request that are known before it is routed.
struct RequestContext {
  core::RequestId Request;
  core::OrganisationId Organisation;
  core::ServiceId Service;
  std::string RequestClass; ///< coarse category, such as a prompt-length bucket
  std::uint64_t PromptTokens = 0; ///< estimate
  /// Hashes of the prompt's leading blocks, each covering all before it.
  std::vector<std::uint64_t> PrefixHashes;
  /// The version that the request's session is pinned to.
  std::optional<core::VersionId> PinnedVersion;
  bool Stream = false;
  core::Millis Remaining; ///< time until the request's deadline
};

/// A single version answers the request.
struct SinglePlan {
  core::VersionId Version;
  friend auto operator<=>(const SinglePlan &, const SinglePlan &) = default;
};

/// `Cheap` answers first. If the check score of its answer is too low, the
/// request is escalated to `Better`.
struct CascadePlan {
  core::VersionId Cheap;
  core::VersionId Better;
  double AcceptAbove = 0; ///< lowest accepted check score, 0..1
  friend auto operator<=>(const CascadePlan &, const CascadePlan &) = default;
};

/// No version may answer the request; `Reason` is returned to the caller.
struct NoPlan {
  core::Errc Reason = core::Errc::NotAllowed;
  friend auto operator<=>(const NoPlan &, const NoPlan &) = default;
};

using Plan = std::variant<SinglePlan, CascadePlan, NoPlan>;

/// An entry's current view of one runner.
struct RunnerView {
  core::RunnerId Runner;
  core::FailureDomainId Domain;
  std::vector<core::VersionId> Versions;
  unsigned InFlight = 0;        ///< last reported by the sidecar
  unsigned SentSinceReport = 0; ///< attempts sent since the last report
  unsigned Queued = 0;
  unsigned ConcurrencyLimit = 1;
  core::Millis PredictedWait;    ///< last reported by the sidecar
  core::Millis ReportReceivedAt; ///< monotonic clock
  bool Draining = false;
  bool SuspectedFailed = false; ///< recent timeouts or lost connection
};

/// Identifies a version that was cut off because of its evidence, for all
/// organisations or for one.
struct CutOffKey {
  core::ServiceId Service;
  core::VersionId Version;
  core::OrganisationId Organisation; ///< empty: all organisations
  friend auto operator<=>(const CutOffKey &, const CutOffKey &) = default;
};

using CutOffSet = std::set<CutOffKey>;

} // namespace cowslipridge::route
