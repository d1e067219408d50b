#pragma once

#include "cowslipridge/core/Ids.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace cowslipridge::rollout {

/// What one version's answers to one route are counted under.
struct RouteEvidenceKey {
  core::ServiceId Service;
  core::VersionId Version;
  std::string Route;
  friend auto operator<=>(const RouteEvidenceKey &,
                          const RouteEvidenceKey &) = default;
};

/// Counts that only grow while a process runs.
struct AnswerCounts {
  std::uint64_t Sent = 0;   ///< requests given to runners of the version
  std::uint64_t Judged = 0; ///< of these, ended with a verdict on the runner
  std::uint64_t Failed = 0; ///< the runner answered that it failed
  std::uint64_t Broken = 0; ///< broke off or silent; crashes look like that
  std::uint64_t Timed = 0;  ///< answers with a forecast to compare with
  double LogSlowness = 0;   ///< sum of log(observed / forecast)

  AnswerCounts &operator+=(const AnswerCounts &other);
  friend auto operator<=>(const AnswerCounts &, const AnswerCounts &) = default;
};

using RouteEvidenceTable = std::map<RouteEvidenceKey, AnswerCounts>;

/// What is known of each version of a service, over all its routes.
std::map<core::VersionId, AnswerCounts>
sumByVersion(const RouteEvidenceTable &evidence,
             const core::ServiceId &service);

/// Whether a version under trial answers worse than the one it replaces.
bool isWorse(const AnswerCounts &trial, const AnswerCounts &stable);

} // namespace cowslipridge::rollout
