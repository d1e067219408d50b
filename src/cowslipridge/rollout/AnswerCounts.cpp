#include "cowslipridge/rollout/AnswerCounts.hpp"

namespace cowslipridge::rollout {

namespace {

bool hasRestarted(const AnswerCounts &before, const AnswerCounts &after) {
  return after.Sent < before.Sent || after.Judged < before.Judged ||
         after.Failed < before.Failed || after.Broken < before.Broken ||
         after.Timed < before.Timed ||
         !after.Intervals.includes(before.Intervals) ||
         !after.Durations.includes(before.Durations);
}

} // namespace

AnswerCounts &AnswerCounts::operator+=(const AnswerCounts &other) {
  Sent += other.Sent;
  Judged += other.Judged;
  Failed += other.Failed;
  Broken += other.Broken;
  Timed += other.Timed;
  LogSlowness += other.LogSlowness;
  Intervals += other.Intervals;
  Durations += other.Durations;
  return *this;
}

AnswerCounts countedSince(const AnswerCounts &before,
                          const AnswerCounts &after) {
  if (hasRestarted(before, after))
    return after;
  AnswerCounts added = after;
  added.Sent -= before.Sent;
  added.Judged -= before.Judged;
  added.Failed -= before.Failed;
  added.Broken -= before.Broken;
  added.Timed -= before.Timed;
  added.LogSlowness -= before.LogSlowness;
  added.Intervals -= before.Intervals;
  added.Durations -= before.Durations;
  return added;
}

std::map<core::VersionId, AnswerCounts>
sumByVersion(const RouteEvidenceTable &evidence,
             const core::ServiceId &service) {
  std::map<core::VersionId, AnswerCounts> sums;
  for (const auto &[key, counts] : evidence) {
    if (key.Service == service)
      sums[key.Version] += counts;
  }
  return sums;
}

} // namespace cowslipridge::rollout
