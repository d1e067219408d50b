#include "cowslipridge/observe/CauseInference.hpp"
#include "cowslipridge/observe/TimelineMerge.hpp"

#include <gtest/gtest.h>

#include <map>

using namespace cowslipridge;
using namespace cowslipridge::observe;
using enum cowslipridge::observe::EventNumber;

namespace {

class CauseInferenceTest : public testing::Test {
protected:
  void add(const std::string &instance, EventNumber number,
           const std::string &detail = "", std::int64_t at = 0) {
    Event event;
    event.Number = number;
    event.At = core::Millis(at);
    event.Sequence = ++Sequences[instance];
    event.Instance = core::InstanceId(instance);
    event.Start = core::Incarnation(1);
    event.Request = core::RequestId("r");
    event.Detail = detail;
    Events.push_back(event);
  }

  std::map<std::string, std::string> causes() {
    std::map<std::string, std::string> found;
    for (const Event &it : inferCauses(Events))
      found[eventIdOf(it)] = it.Cause;
    return found;
  }

  std::vector<Event> Events;
  std::map<std::string, std::uint64_t> Sequences;
};

TEST_F(CauseInferenceTest, linksARunToItsRoutingAndTheEndOfTheRequest) {
  add("e", RequestReceived);
  add("e", RequestRouted, "s");
  add("s", RunStarted);
  add("s", RunEnded, "ran");
  add("e", RequestEnded);
  const auto found = causes();
  EXPECT_EQ(found.at("s/1/1"), "e/1/2");
  EXPECT_EQ(found.at("e/1/3"), "s/1/2");
  EXPECT_EQ(found.at("s/1/2"), "");
}

TEST_F(CauseInferenceTest, refusedRunCausesTheRetry) {
  add("e", RequestRouted, "s");
  add("s", RunRefused, "overloaded");
  add("e", RequestRetried, "t");
  add("e", RequestRouted, "t");
  add("t", RunStarted);
  const auto found = causes();
  EXPECT_EQ(found.at("s/1/1"), "e/1/1");
  EXPECT_EQ(found.at("e/1/2"), "s/1/1");
  EXPECT_EQ(found.at("t/1/1"), "e/1/3");
}

TEST_F(CauseInferenceTest, pairsTwoAttemptsAtOneSidecarInOrder) {
  add("e", RequestRouted, "s");
  add("s", RunStarted);
  add("s", RunEnded);
  add("e", RequestRouted, "s");
  add("s", RunStarted);
  const auto found = causes();
  EXPECT_EQ(found.at("s/1/1"), "e/1/1");
  EXPECT_EQ(found.at("s/1/3"), "e/1/2");
}

TEST_F(CauseInferenceTest, ignoresTheEndOfARunWhoseStartIsMissing) {
  add("e", RequestRouted, "s");
  add("s", RunEnded);
  add("e", RequestEnded);
  for (const auto &[event, cause] : causes())
    EXPECT_EQ(cause, "") << event;
}

// The routing and the start of the run can fall into one millisecond. Without
// an inferred cause, the sidecar's event then came first if its instance name
// sorts before that of the entry.
TEST_F(CauseInferenceTest, runFollowsItsRoutingDespiteEqualOrSkewedTimes) {
  add("e", RequestRouted, "a-sidecar", 5);
  add("a-sidecar", RunStarted, "", 4);
  const auto merged = mergeTimeline(inferCauses(Events));
  ASSERT_EQ(merged.size(), 2U);
  EXPECT_EQ(merged.front().Number, RequestRouted);
}

} // namespace
