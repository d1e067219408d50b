#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/rollout/TrialAssessment.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <utility>

using namespace cowslipridge;
using namespace cowslipridge::rollout;

namespace {

constexpr int Seeds = 200;
constexpr double IdleMillis = 20;

/// Streams of two versions. Other requests at a runner slow a stream down, and
/// some streams are delayed by the long prompts of others.
class TrialSpeed {
public:
  explicit TrialSpeed(int seed) : Random(static_cast<std::uint64_t>(seed)) {
    for (int n = 0; n < 300; ++n)
      add(Stable, core::uniformIndex(Random, 9), 1);
  }
  /// Adds streams of the version on trial, which gets few requests.
  void addQuiet(int streams, double factor) {
    for (int n = 0; n < streams; ++n)
      add(Trial, core::uniformIndex(Random, 3), factor);
  }
  void addLoaded(int streams, double factor) {
    for (int n = 0; n < streams; ++n)
      add(Trial, 5 + core::uniformIndex(Random, 30), factor);
  }
  [[nodiscard]] bool isTrialWorse() const {
    TrialAssessment assessment{core::VersionId("v2")};
    const core::ServiceId service("s");
    assessment.add({service, core::VersionId("v1"), "r"}, Stable, {});
    assessment.add({service, core::VersionId("v2"), "r"}, Trial, {});
    return assessment.verdict().Finding == TrialFinding::Worse;
  }

private:
  void add(AnswerCounts &counts, std::size_t others, double factor) {
    const double runner = 0.9 + 0.2 * core::uniform(Random);
    const double load = 1 + 0.12 * static_cast<double>(others);
    const double prompts =
        core::uniform(Random) < 0.3 ? 1 + 4 * core::uniform(Random) : 1;
    counts.Intervals.add(others, IdleMillis * runner * load * prompts * factor);
  }

  core::Random Random;
  AnswerCounts Stable;
  AnswerCounts Trial;
};

/// Returns how many of the seeds find the version slower.
int countFound(int streams, double factor) {
  int found = 0;
  for (int seed = 0; seed < Seeds; ++seed) {
    TrialSpeed speed(seed);
    speed.addQuiet(streams, factor);
    found += speed.isTrialWorse() ? 1 : 0;
  }
  return found;
}

// Guards against completing the roll-out of a version that computes a share of
// its requests several times slower: its runners make all streams slower, by
// the mean over all requests. The first tokens hardly show it.
TEST(TrialSpeedTest, versionThatComputesSomeRequestsSlowlyIsFoundInTime) {
  constexpr int StreamsInTime = 16;
  for (const auto &[share, factor] :
       {std::pair{0.3, 3.0}, {0.1, 8.0}, {0.5, 4.0}, {1.0, 2.0}, {0.3, 8.0}}) {
    const double mean = 1 + share * (factor - 1);
    EXPECT_GE(countFound(StreamsInTime, mean), Seeds * 95 / 100)
        << share << " of the requests " << factor << " times slower";
  }
}

// Pattern: only a few requests of the version are slow, or not much slower.
TEST(TrialSpeedTest, versionThatIsAThirdSlowerIsFoundInTime) {
  constexpr int StreamsInTime = 16;
  constexpr double Mean = 1.35;
  EXPECT_GE(countFound(StreamsInTime, Mean), Seeds * 95 / 100);
}

// Pattern: a sound version gets few requests at first, then all of them, in a
// burst that the stable version never had.
TEST(TrialSpeedTest, soundVersionIsNotBlamedForItsLoad) {
  int blamed = 0;
  for (int seed = 0; seed < Seeds; ++seed) {
    TrialSpeed speed(seed);
    bool isWorse = false;
    for (int n = 0; n < 40; ++n) {
      speed.addQuiet(1, 1);
      isWorse = isWorse || speed.isTrialWorse();
    }
    for (int n = 0; n < 40; ++n) {
      speed.addLoaded(10, 1);
      isWorse = isWorse || speed.isTrialWorse();
    }
    blamed += isWorse ? 1 : 0;
  }
  EXPECT_EQ(blamed, 0);
}

} // namespace
