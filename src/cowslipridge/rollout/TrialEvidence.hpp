#pragma once

#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/rollout/IntervalHistogram.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace cowslipridge::rollout {

/// Key that the answers of one version on one route are counted under.
struct RouteEvidenceKey {
  core::ServiceId Service;
  core::VersionId Version;
  std::string Route;
  friend auto operator<=>(const RouteEvidenceKey &,
                          const RouteEvidenceKey &) = default;
};

/// Counts of attempts and answers. They never decrease while a process runs.
struct AnswerCounts {
  std::uint64_t Sent = 0;    ///< attempts on runners of the version
  std::uint64_t Judged = 0;  ///< of these, with an outcome due to the runner
  std::uint64_t Failed = 0;  ///< the runner answered with an error
  std::uint64_t Broken = 0;  ///< broken off or timed out, as by a runner crash
  std::uint64_t Timed = 0;   ///< answers with a forecast to compare with
  double LogSlowness = 0;    ///< sum of log(observed / forecast)
  IntervalsByLoad Intervals; ///< between the events of complete streams

  AnswerCounts &operator+=(const AnswerCounts &other);
  friend auto operator<=>(const AnswerCounts &, const AnswerCounts &) = default;
};

using RouteEvidenceTable = std::map<RouteEvidenceKey, AnswerCounts>;

/// Returns the counts of each version of a service, summed over all its routes.
std::map<core::VersionId, AnswerCounts>
sumByVersion(const RouteEvidenceTable &evidence,
             const core::ServiceId &service);

/// Returns whether a version on trial answers worse than the stable version: it
/// fails more often, breaks off more often, begins its answers later or streams
/// them more slowly.
bool isWorse(const AnswerCounts &trial, const AnswerCounts &stable);

} // namespace cowslipridge::rollout
