#include "cowslipridge/observe/CauseInference.hpp"
#include "cowslipridge/observe/LogReader.hpp"
#include "cowslipridge/observe/TimelineMerge.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

using namespace cowslipridge;
using namespace cowslipridge::observe;

namespace {

/// A failed request that docs/OPERATIONS.md explains, with the events and the
/// cause that its recorded log must contain.
struct Example {
  std::string File;
  std::string Request;
  std::vector<EventNumber> Steps;
  std::string Cause; ///< expected in the detail of the last event
};

const std::vector<Example> Examples = {
    {"refused-under-load",
     "d1e8177c93f8c8ee",
     {EventNumber::RequestRouted, EventNumber::RequestRetried,
      EventNumber::RequestRefused},
     "status=503 no-room, no runner answers in time"},
    {"failed-and-not-repeated",
     "69cd0e2d9a5aa42c",
     {EventNumber::RequestRouted, EventNumber::RequestRefused},
     "status=502 broken-early"},
    {"broken-off-in-a-stream",
     "30a755f92cdd5064",
     {EventNumber::RequestRouted, EventNumber::RequestEscalated,
      EventNumber::RequestRouted, EventNumber::RequestRefused},
     "broken off: deadline"}};

std::vector<Event> readRecordedEvents(const std::string &name) {
  std::ifstream in(std::string(COWSLIPRIDGE_RECORDED_LOGS) + "/" + name +
                   ".log");
  EXPECT_TRUE(in.is_open()) << name;
  core::Findings findings;
  auto events = readLog(in, name, findings);
  EXPECT_TRUE(findings.empty());
  return mergeTimeline(inferCauses(std::move(events)));
}

TEST(OperationsPageTest, recordedLogContainsTheCauseOfEachFailedRequest) {
  for (const Example &example : Examples) {
    std::vector<EventNumber> steps;
    std::string last;
    for (const Event &it : readRecordedEvents(example.File)) {
      if (it.Request.str() != example.Request)
        continue;
      steps.push_back(it.Number);
      last = it.Detail;
    }
    EXPECT_EQ(steps, example.Steps) << example.File;
    EXPECT_NE(last.find(example.Cause), std::string::npos) << last;
  }
}

TEST(OperationsPageTest, pageNamesEachRequestAndItsLogFile) {
  std::ifstream in(std::string(COWSLIPRIDGE_DOCS) + "/OPERATIONS.md");
  std::stringstream page;
  page << in.rdbuf();
  for (const Example &example : Examples) {
    EXPECT_NE(page.str().find(example.Request), std::string::npos);
    EXPECT_NE(page.str().find(example.File + ".log"), std::string::npos);
  }
}

} // namespace
