#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/rollout/ExposureGuard.hpp"
#include "cowslipridge/rollout/SequentialMeanTest.hpp"
#include "support/PropertyChecks.hpp"

#include <cmath>
#include <deque>
#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace cowslipridge;
using namespace cowslipridge::rollout;

namespace {

constexpr int EventSequences = 10'000;
const core::VersionId Old("old");
const core::VersionId Trial("new");
const core::OrganisationId Club("club");

config::ServiceDeclaration service(unsigned credits) {
  config::ServiceDeclaration service;
  service.Name = core::ServiceId("advice");
  service.Organisations.resize(1);
  service.Rollout.emplace();
  service.Rollout->Trial = Trial;
  service.Rollout->Replaces = Old;
  service.Rollout->Steps = {0.5, 1};
  service.Rollout->InitialCredits = credits;
  service.Rollout->GradesPerStep = 5;
  return service;
}

/// Returns the maximum number of lost credits that are released in a duration
/// without grades: one after the timeout of 30 s, the next after twice as long,
/// and so on.
double maxReleasesIn(core::Millis duration) {
  const double timeouts = static_cast<double>(duration.count()) / 30'000;
  return std::floor(std::log2(timeouts + 1)) + 1;
}

/// Starts as many requests as the guard admits, while grades are delayed,
/// duplicated, reordered or lost, and checks that exposure stays bounded.
class GuardedTraffic {
public:
  explicit GuardedTraffic(unsigned credits)
      : Credits(credits),
        Guard({core::InstanceId("a"), core::Incarnation(1)}, 1) {
    Guard.configure(service(credits));
    for (int i = 0; i < 100; ++i) {
      const core::RequestId request("old-" + std::to_string(i));
      Guard.onStart(request, Old, Club, Now);
      Guard.onGrade(request, 0.9, Now);
    }
  }

  void step(int kind, std::size_t pick, double score) {
    if (kind < 4)
      startAll();
    else if (kind < 8)
      grade(pick, score, kind == 7);
    else if (kind == 8)
      passTime(core::Millis(static_cast<std::int64_t>(pick) * 3'000));
    else
      Guard.setStep(static_cast<unsigned>(pick % 3));
    check();
  }

private:
  void startAll() {
    for (int i = 0; i < 50 && Guard.admits(Trial, Club); ++i) {
      RC_ASSERT(!IsCutOff);
      const core::RequestId request(std::to_string(Starts++));
      Guard.onStart(request, Trial, Club, Now);
      Ungraded.push_back(request);
    }
  }

  void grade(std::size_t pick, double score, bool again) {
    if (Ungraded.empty())
      return;
    const auto it =
        Ungraded.begin() + static_cast<std::ptrdiff_t>(pick % Ungraded.size());
    const RolloutActions actions = Guard.onGrade(*it, score, Now);
    for (const RolloutAction &action : actions)
      IsCutOff = IsCutOff || std::holds_alternative<CutOff>(action);
    ++Grades;
    MaxReleases += maxReleasesIn(Now - LastGrade);
    LastGrade = Now;
    if (!again)
      Ungraded.erase(it);
  }

  void passTime(core::Millis time) {
    const core::Millis end = Now + time;
    while (Now < end) {
      Now = Now + core::Millis(1'000);
      Guard.advance(Now);
      startAll();
    }
  }

  void check() const {
    const double bound =
        Credits + 3.0 * Grades + MaxReleases + maxReleasesIn(Now - LastGrade);
    RC_ASSERT(static_cast<double>(Starts) <= bound);
    RC_ASSERT(!IsCutOff || !Guard.admits(Trial, Club));
    RC_ASSERT(!IsCutOff || Guard.trialShare() == 0);
  }

  unsigned Credits;
  ExposureGuard Guard;
  core::Millis Now;
  core::Millis LastGrade;
  std::deque<core::RequestId> Ungraded;
  std::uint64_t Starts = 0;
  int Grades = 0;
  double MaxReleases = 0;
  bool IsCutOff = false;
};

TEST(ExposureProperties, exposureIsBoundedByGradesAndCutOffsArePermanent) {
  support::expectHolds(EventSequences, [] {
    GuardedTraffic traffic(*rc::gen::inRange(1U, 6U));
    const int low = *rc::gen::inRange(0, 100);
    const auto kinds =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10));
    for (const int kind : kinds) {
      const int score = *rc::gen::inRange(low, 101);
      traffic.step(kind, *rc::gen::inRange<std::size_t>(0, 100), score / 100.0);
    }
  });
}

TEST(ExposureProperties, mergedEvidenceIsIndependentOfOrderAndDuplicates) {
  support::expectHolds(EventSequences, [] {
    std::vector<EvidenceRecord> records;
    const int n = *rc::gen::inRange(1, 12);
    for (int i = 0; i < n; ++i) {
      EvidenceRecord record;
      record.Source.Instance =
          core::InstanceId(std::to_string(*rc::gen::inRange(0, 3)));
      record.Key.Version = Trial;
      record.Counters.Grades = *rc::gen::inRange<std::uint64_t>(0, 50);
      record.Counters.ScoreSumMicro = *rc::gen::inRange<std::uint64_t>(0, 99);
      records.push_back(record);
    }
    EvidenceTable inOrder;
    for (const EvidenceRecord &it : records)
      inOrder.merge(it);
    EvidenceTable shuffled;
    for (int i = 0; i < 3 * n; ++i)
      shuffled.merge(
          records[*rc::gen::inRange<std::size_t>(0, records.size())]);
    for (auto it = records.rbegin(); it != records.rend(); ++it)
      shuffled.merge(*it);
    RC_ASSERT(inOrder.total({}, Trial) == shuffled.total({}, Trial));
  });
}

/// Draws sequences of 300 scores whose mean is the bound itself. Returns the
/// number of sequences whose evidence ever reaches log(1/0.05), which is a
/// false alarm.
template <typename DrawScore>
int countFalseAlarms(int sequences, double bound, DrawScore drawScore) {
  core::Random random(7);
  int falseAlarms = 0;
  for (int i = 0; i < sequences; ++i) {
    SequentialMeanTest test;
    GradeTotals totals;
    bool hasAlarmed = false;
    for (int n = 0; n < 300 && !hasAlarmed; ++n) {
      test.update(totals);
      const double score = drawScore(random);
      ++totals.Grades;
      totals.ScoreSum += score;
      totals.BadGrades += score < 0.5 ? 1 : 0;
      totals.BadScoreSum += score < 0.5 ? score : 0;
      test.update(totals);
      hasAlarmed = test.evidence(bound) >= std::log(1 / 0.05);
    }
    falseAlarms += hasAlarmed ? 1 : 0;
  }
  std::cout << falseAlarms << " of " << sequences << " sequences\n";
  return falseAlarms;
}

constexpr int ScoreSequences = 2'000;

TEST(ExposureProperties, sequentialTestKeepsItsErrorRate) {
  const int alarms = countFalseAlarms(ScoreSequences, 0.8, [](core::Random &x) {
    return core::uniform(x) < 0.8 ? 1.0 : 0.0;
  });
  EXPECT_LE(alarms, ScoreSequences * 0.05);
}

// Half of the scores are in 0.35..0.45 or 0.55..0.65, the others in 0.9..1.
TEST(ExposureProperties, sequentialTestKeepsItsErrorRateOnMixedScores) {
  const int alarms =
      countFalseAlarms(ScoreSequences, 0.725, [](core::Random &x) {
        const double spread = core::uniform(x) * 0.1;
        if (core::uniform(x) < 0.5)
          return 0.9 + spread;
        return (core::uniform(x) < 0.5 ? 0.35 : 0.55) + spread;
      });
  EXPECT_LE(alarms, ScoreSequences * 0.05);
}

} // namespace
