#include "exposure/Baselines.hpp"

namespace cowslipridge::exposure {

namespace {

constexpr double FixedShare = 0.1;
constexpr core::Millis ObservationTime{600'000};
constexpr core::Millis OperatorReactionTime{300'000};

struct GradedMean {
  double Sum = 0;
  double Count = 0;
  void add(double score) {
    Sum += score;
    ++Count;
  }
  [[nodiscard]] double value() const { return Count > 0 ? Sum / Count : 1; }
};

} // namespace

RunResult runFixedShare(const Scenario &scenario, std::uint64_t seed) {
  Workload load(scenario, seed);
  RunResult result;
  GradedMean old;
  GradedMean trial;
  bool isOver = false;
  double share = FixedShare;
  for (core::Millis now; now < RunLength; now = now + load.nextGap()) {
    if (!isOver && now >= ObservationTime) {
      isOver = true;
      const double loss = declareService().Rollout->MaxQualityLoss;
      const bool isCutOff = trial.value() < old.value() - loss;
      share = isCutOff ? 0 : 1;
      if (isCutOff && scenario.TrialIsBad)
        result.CutOffAt = now - scenario.BadFrom;
      result.FalseCutOff = isCutOff && !scenario.TrialIsBad;
      if (!isCutOff)
        result.FullShareAt = now;
    }
    const unsigned organisation = load.nextOrganisation();
    const bool isTrial = core::uniform(load.random()) < share;
    const double score = load.score(isTrial, organisation, now);
    if (isTrial && load.isBad(organisation, now))
      ++result.BadServed;
    const auto graded = load.gradeAt(now);
    if (graded && *graded < ObservationTime)
      (isTrial ? trial : old).add(score);
  }
  return result;
}

RunResult runOperatorCutOff(const Scenario &scenario, std::uint64_t seed) {
  Workload load(scenario, seed);
  RunResult result;
  for (core::Millis now; now < RunLength; now = now + load.nextGap()) {
    if (scenario.TrialIsBad && now - scenario.BadFrom >= OperatorReactionTime) {
      result.CutOffAt = OperatorReactionTime;
      break;
    }
    const unsigned organisation = load.nextOrganisation();
    const bool isTrial = core::uniform(load.random()) < FixedShare;
    if (isTrial && load.isBad(organisation, now))
      ++result.BadServed;
  }
  return result;
}

} // namespace cowslipridge::exposure
