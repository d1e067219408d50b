#include "exposure/Reference.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>

namespace cowslipridge::exposure {

namespace {

/// Fractions of the wealth that are bet in parallel.
constexpr std::array<double, 6> BetFractions = {0.1,  0.25, 0.4,
                                                0.55, 0.7,  0.85};
constexpr unsigned GradesPerStart = 8;
constexpr std::size_t MaxStarts = 48;
constexpr std::uint64_t MinOldGrades = 20;

/// Sequential test that accumulates the wealth of bets on each score. A new
/// series of bets starts regularly, so that a later change is detected as well.
class BettingTest {
public:
  void bet(double score, double bound) {
    if (Grades++ % GradesPerStart == 0)
      start();
    for (Start &it : Starts) {
      for (std::size_t i = 0; i < BetFractions.size(); ++i) {
        const double stake = BetFractions[i] / (1 - bound);
        it.LogWealth[i] += std::log1p(stake * (bound - score));
      }
    }
  }

  [[nodiscard]] double evidence() const {
    double sum = 0;
    for (const Start &it : Starts) {
      for (const double log : it.LogWealth)
        sum += std::exp(it.LogWeight + log) / BetFractions.size();
    }
    return std::log(sum);
  }

private:
  struct Start {
    double LogWeight = 0;
    std::array<double, BetFractions.size()> LogWealth{};
  };

  void start() {
    const double n = StartCount++;
    const double weight = StartCount == 1 ? 0.5 : 0.5 / (n * (n + 1));
    Starts.push_back({std::log(weight), {}});
    // An early start adds little evidence and is removed, except for the first.
    if (Starts.size() > MaxStarts)
      Starts.erase(Starts.begin() + 1);
  }

  std::uint64_t Grades = 0;
  unsigned StartCount = 0;
  std::vector<Start> Starts;
};

struct Mean {
  std::uint64_t Count = 0;
  double Sum = 0;
  void add(double score) {
    ++Count;
    Sum += score;
  }
  [[nodiscard]] double value() const {
    return Sum / static_cast<double>(Count);
  }
  [[nodiscard]] double margin() const {
    const double variance = std::max(0.01, value() * (1 - value()));
    return 1.5 * std::sqrt(variance / static_cast<double>(Count));
  }
};

class ReferenceRun {
public:
  ReferenceRun(const Scenario &scenario, std::uint64_t seed)
      : Load(scenario, seed), Rollout(*declareService().Rollout) {}

  RunResult run() {
    core::Millis now;
    while (now < RunLength && !Result.CutOffAt) {
      now = now + Load.nextGap();
      serve(now);
    }
    return Result;
  }

private:
  void serve(core::Millis now) {
    const unsigned organisation = Load.nextOrganisation();
    const double share =
        Rollout.Steps[std::min<std::size_t>(Step, Rollout.Steps.size() - 1)];
    const bool isTrial = core::uniform(Load.random()) < share;
    const double score = Load.score(isTrial, organisation, now);
    if (!isTrial) {
      Old.add(score);
      OldByOrganisation[organisation].add(score);
      return;
    }
    if (Load.isBad(organisation, now))
      ++Result.BadServed;
    if (Old.Count < MinOldGrades)
      return;
    testScore(score, organisation, now);
    if (++TrialGrades % Rollout.GradesPerStep == 0 && ++Step >= 4 &&
        !Result.FullShareAt)
      Result.FullShareAt = now;
  }

  void testScore(double score, unsigned organisation, core::Millis now) {
    const double chance = Rollout.FalseCutOff;
    Overall.bet(score, boundOf(Old));
    const Mean &orgMean = OldByOrganisation[organisation];
    ByOrganisation[organisation].bet(
        score, boundOf(orgMean.Count < MinOldGrades ? Old : orgMean));
    const bool isCutOff = Overall.evidence() >= std::log(2 / chance) ||
                          ByOrganisation[organisation].evidence() >=
                              std::log(2 * OrganisationCount / chance);
    if (!isCutOff)
      return;
    if (Load.isBad(organisation, now))
      Result.CutOffAt = now - Load.scenario().BadFrom;
    else
      Result.FalseCutOff = true;
  }

  [[nodiscard]] double boundOf(const Mean &mean) const {
    return std::clamp(mean.value() - Rollout.MaxQualityLoss - mean.margin(),
                      0.02, 0.98);
  }

  Workload Load;
  config::RolloutDeclaration Rollout;
  Mean Old;
  std::map<unsigned, Mean> OldByOrganisation;
  BettingTest Overall;
  std::map<unsigned, BettingTest> ByOrganisation;
  std::uint64_t TrialGrades = 0;
  unsigned Step = 0;
  RunResult Result;
};

} // namespace

RunResult runReference(const Scenario &scenario, std::uint64_t seed) {
  return ReferenceRun(scenario, seed).run();
}

} // namespace cowslipridge::exposure
