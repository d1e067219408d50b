#include "cowslipridge/http1/LoopTimer.hpp"

#include "support/LoopFixture.hpp"

#include <optional>

using namespace cowslipridge;
using http1::LoopTimer;

namespace {

/// Lets two timers expire while the loop is stalled, so that the handler of the
/// first runs when that of the second is already queued.
class LoopTimerTest : public support::LoopFixture {
protected:
  void expireBoth(const std::function<void()> &onFirst) {
    First.start(core::Millis(1), onFirst);
    Second->start(core::Millis(2), [this] { ++Expired; });
    stall(core::Millis(10));
    Loop.poll();
  }

  LoopTimer First{Loop};
  std::optional<LoopTimer> Second{std::in_place, Loop};
  int Expired = 0;
};

TEST_F(LoopTimerTest, callsTheHandlerOnce) {
  expireBoth([] {});
  Loop.restart();
  Loop.poll();
  EXPECT_EQ(Expired, 1);
}

// Guards against a timeout that acts although the event that it waited for came
// in the same turn of the loop.
TEST_F(LoopTimerTest, handlerThatIsQueuedDoesNotRunAfterCancel) {
  expireBoth([this] { Second->cancel(); });
  EXPECT_EQ(Expired, 0);
}

TEST_F(LoopTimerTest, handlerThatIsQueuedDoesNotRunAfterANewStart) {
  expireBoth([this] { Second->start(core::Millis(60'000), [] {}); });
  EXPECT_EQ(Expired, 0);
}

TEST_F(LoopTimerTest, handlerThatIsQueuedDoesNotRunAfterDestruction) {
  expireBoth([this] { Second.reset(); });
  EXPECT_EQ(Expired, 0);
}

TEST_F(LoopTimerTest, handlerMayStartTheTimerAgain) {
  const std::function<void()> again = [&] {
    if (++Expired < 3)
      Second->start(core::Millis(), again);
  };
  Second->start(core::Millis(), again);
  runUntil([this] { return Expired == 3; });
}

} // namespace
