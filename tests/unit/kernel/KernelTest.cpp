#include "cowslipridge/kernel/Kernel.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge::kernel;

namespace {

/// Records the calls of its life cycle in a shared log.
class Recorder final : public Service {
public:
  Recorder(std::vector<std::string> &log, std::string name, bool startResult)
      : Log(log), Name(std::move(name)), StartResult(startResult) {}
  bool start() override {
    Log.push_back("start " + Name);
    return StartResult;
  }
  void stop() override { Log.push_back("stop " + Name); }

private:
  std::vector<std::string> &Log;
  std::string Name;
  bool StartResult;
};

TEST(Kernel, findsServicesByNameAndType) {
  std::vector<std::string> log;
  Kernel kernel;
  kernel.provide("one", std::make_shared<Recorder>(log, "one", true));
  EXPECT_NE(kernel.find<Recorder>("one"), nullptr);
  EXPECT_EQ(kernel.find<Kernel>("one"), nullptr);
  EXPECT_EQ(kernel.find<Recorder>("two"), nullptr);
}

TEST(Kernel, stopsInReverseOrder) {
  std::vector<std::string> log;
  Kernel kernel;
  kernel.provide("one", std::make_shared<Recorder>(log, "one", true));
  kernel.provide("two", std::make_shared<Recorder>(log, "two", true));
  EXPECT_TRUE(kernel.start());
  kernel.stop();
  EXPECT_EQ(log, (std::vector<std::string>{"start one", "start two", "stop two",
                                           "stop one"}));
}

TEST(Kernel, failedStartStopsOnlyStartedServices) {
  std::vector<std::string> log;
  Kernel kernel;
  kernel.provide("one", std::make_shared<Recorder>(log, "one", true));
  kernel.provide("two", std::make_shared<Recorder>(log, "two", false));
  EXPECT_FALSE(kernel.start());
  EXPECT_EQ(log,
            (std::vector<std::string>{"start one", "start two", "stop one"}));
}

} // namespace
