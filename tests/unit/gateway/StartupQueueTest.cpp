#include "cowslipridge/gateway/StartupQueue.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

using namespace cowslipridge;
using namespace cowslipridge::gateway;
using core::Millis;

namespace {

class StartupQueueTest : public testing::Test {
protected:
  StartupQueue::Ticket hold(const std::string &name, std::size_t bytes = 100,
                            Millis now = Millis(0)) {
    return Queue.hold(bytes, now, [this, name] { Released.push_back(name); });
  }

  StartupQueue Queue;
  std::vector<std::string> Released;
};

// Pattern: all gateways were lost; callers retry while the first listing of
// the store is on its way.
TEST_F(StartupQueueTest, releasesAllInOrderOnceTheConfigurationIsKnown) {
  hold("a");
  hold("b");
  hold("c");
  Queue.expire(Millis(30));
  EXPECT_TRUE(Released.empty());
  Queue.releaseAll();
  EXPECT_EQ(Released, (std::vector<std::string>{"a", "b", "c"}));
  EXPECT_EQ(Queue.size(), 0U);
}

TEST_F(StartupQueueTest, releasesEachRequestAfterTheLongestHold) {
  hold("a", 100, Millis(0));
  hold("b", 100, Millis(200));
  Queue.expire(StartupQueue::MaxHold - Millis(1));
  EXPECT_TRUE(Released.empty());
  Queue.expire(StartupQueue::MaxHold);
  EXPECT_EQ(Released, std::vector<std::string>{"a"});
  Queue.expire(StartupQueue::MaxHold + Millis(200));
  EXPECT_EQ(Released, (std::vector<std::string>{"a", "b"}));
}

TEST_F(StartupQueueTest, boundsNumberAndMemory) {
  hold("large", StartupQueue::MaxBytes - 50);
  EXPECT_TRUE(Queue.hasRoom(50));
  EXPECT_FALSE(Queue.hasRoom(51));
  Queue.releaseAll();
  EXPECT_TRUE(Queue.hasRoom(StartupQueue::MaxBytes));
  for (std::size_t n = 0; n < StartupQueue::MaxRequests; ++n)
    hold("small", 1);
  EXPECT_FALSE(Queue.hasRoom(1));
}

TEST_F(StartupQueueTest, releasesNoRequestWhoseCallerHasDisconnected) {
  hold("a");
  const StartupQueue::Ticket gone = hold("b", StartupQueue::MaxBytes - 200);
  Queue.remove(gone);
  Queue.remove(gone);
  EXPECT_TRUE(Queue.hasRoom(StartupQueue::MaxBytes - 200));
  Queue.releaseAll();
  EXPECT_EQ(Released, std::vector<std::string>{"a"});
}

// A request that is released may itself be held again.
TEST_F(StartupQueueTest, handlersMayHoldFurtherRequests) {
  Queue.hold(10, Millis(0), [this] { hold("again"); });
  Queue.releaseAll();
  EXPECT_EQ(Queue.size(), 1U);
  EXPECT_TRUE(Released.empty());
}

} // namespace
