#include "cowslipridge/rollout/TrialEvidence.hpp"

#include <cmath>

namespace cowslipridge::rollout {

namespace {

/// Minimum number of failures for a comparison; fewer may be due to isolated
/// faults of a runner.
constexpr std::uint64_t MinFailures = 3;
/// A version on trial fails too often if its share of failures exceeds the
/// share of the stable version times this factor plus this difference.
constexpr double FailureFactor = 2;
constexpr double FailureDifference = 0.1;
/// The same for answers that are broken off, as happens when runners crash.
constexpr std::uint64_t MinBroken = 8;
constexpr double BrokenFactor = 3;
constexpr double BrokenDifference = 0.3;
/// Minimum number of timed answers for a comparison.
constexpr std::uint64_t MinTimed = 6;
/// Mean slowdown relative to the stable version that load does not explain, as
/// a factor.
constexpr double SlownessFactor = 2.2;

double share(std::uint64_t part, std::uint64_t total) {
  return total == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(total);
}

double meanLog(const AnswerCounts &counts) {
  return counts.Timed == 0
             ? 0
             : counts.LogSlowness / static_cast<double>(counts.Timed);
}

bool failsMore(const AnswerCounts &trial, const AnswerCounts &stable) {
  return trial.Failed >= MinFailures &&
         share(trial.Failed, trial.Judged) >
             FailureFactor * share(stable.Failed, stable.Judged) +
                 FailureDifference;
}

bool breaksOffMore(const AnswerCounts &trial, const AnswerCounts &stable) {
  return trial.Broken >= MinBroken &&
         share(trial.Broken, trial.Judged) >
             BrokenFactor * share(stable.Broken, stable.Judged) +
                 BrokenDifference;
}

bool isSlower(const AnswerCounts &trial, const AnswerCounts &stable) {
  return trial.Timed >= MinTimed &&
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
  return failsMore(trial, stable) || breaksOffMore(trial, stable) ||
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
