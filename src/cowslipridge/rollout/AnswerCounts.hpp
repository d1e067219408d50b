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

/// Counts of attempts and answers. They never decrease while a process runs and
/// a roll-out lasts.
struct AnswerCounts {
  std::uint64_t Sent = 0;    ///< attempts on runners of the version
  std::uint64_t Judged = 0;  ///< of these, with an outcome due to the runner
  std::uint64_t Failed = 0;  ///< the runner answered with an error
  std::uint64_t Broken = 0;  ///< broken off or timed out, as by a runner crash
  std::uint64_t Timed = 0;   ///< streams with a forecast to compare with
  double LogSlowness = 0;    ///< of these, sum of log(observed / forecast)
  IntervalsByLoad Intervals; ///< between the events of complete streams
  /// Of plain answers: the time until they were complete, or timed out.
  IntervalsByLoad Durations;

  AnswerCounts &operator+=(const AnswerCounts &other);
  friend auto operator<=>(const AnswerCounts &, const AnswerCounts &) = default;
};

using RouteEvidenceTable = std::map<RouteEvidenceKey, AnswerCounts>;

/// Returns what has been counted since `before`. When a count is lower than
/// before, the process has restarted: all of `after` is new.
AnswerCounts countedSince(const AnswerCounts &before,
                          const AnswerCounts &after);

/// Returns the counts of each version of a service, summed over all its routes.
std::map<core::VersionId, AnswerCounts>
sumByVersion(const RouteEvidenceTable &evidence,
             const core::ServiceId &service);

} // namespace cowslipridge::rollout
