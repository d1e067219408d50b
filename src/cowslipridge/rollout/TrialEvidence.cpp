#include "cowslipridge/rollout/TrialEvidence.hpp"

#include <cmath>

namespace cowslipridge::rollout {

namespace {

/// Failures that single faults of a runner explain.
constexpr std::uint64_t LeastFailures = 3;
/// A trial fails too often when its share of failures exceeds that of the
/// stable version by this factor and this difference.
constexpr double FailureFactor = 2;
constexpr double FailureDifference = 0.1;
/// The same for answers that break off, as they do when runners crash.
constexpr std::uint64_t LeastBroken = 8;
constexpr double BrokenFactor = 3;
constexpr double BrokenDifference = 0.3;
constexpr std::uint64_t LeastTimed = 6;
/// Mean slowdown against the stable version that no load explains, as a factor.
constexpr double SlownessFactor = 2.2;

double share(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

double meanLog(const AnswerCounts &counts) {
  return counts.Timed == 0
             ? 0
             : counts.LogSlowness / static_cast<double>(counts.Timed);
}

bool failsMore(const AnswerCounts &trial, const AnswerCounts &stable) {
  return trial.Failed >= LeastFailures &&
         share(trial.Failed, trial.Judged) >
             FailureFactor * share(stable.Failed, stable.Judged) +
                 FailureDifference;
}

bool breaksMore(const AnswerCounts &trial, const AnswerCounts &stable) {
  return trial.Broken >= LeastBroken &&
         share(trial.Broken, trial.Judged) >
             BrokenFactor * share(stable.Broken, stable.Judged) +
                 BrokenDifference;
}

bool isSlower(const AnswerCounts &trial, const AnswerCounts &stable) {
  return trial.Timed >= LeastTimed &&
         meanLog(trial) - meanLog(stable) > std::log(SlownessFactor);
}

} // namespace

AnswerCounts &AnswerCounts::operator+=(const AnswerCounts &other) {
  Sent += other.Sent;
  Judged += other.Judged;
  Failed += other.Failed;
  Broken += other.Broken;
  Timed += other.Timed;
  LogSlowness += other.LogSlowness;
  return *this;
}

bool isWorse(const AnswerCounts &trial, const AnswerCounts &stable) {
  return failsMore(trial, stable) || breaksMore(trial, stable) ||
         isSlower(trial, stable);
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
