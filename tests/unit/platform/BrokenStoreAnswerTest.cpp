#include "cowslipridge/platform/MonitoredStoreClient.hpp"

#include "support/BrokenAnswers.hpp"
#include "support/LoopFixture.hpp"
#include "support/RawServer.hpp"

using namespace cowslipridge;
using namespace cowslipridge::platform;
using support::RawBehaviour;
using support::RawServer;

namespace {

/// A store whose answer is none, such as that of another program that took over
/// its address.
class BrokenStoreAnswerTest
    : public support::LoopFixture,
      public testing::WithParamInterface<support::BrokenAnswer> {
protected:
  BrokenStoreAnswerTest()
      : Server(Loop, anyPort(), RawBehaviour::AnswersAndCloses,
               [](const std::string &) { return GetParam().Bytes; }),
        Store(Loop, Clock,
              {Server.address().address().to_string(), Server.address().port()},
              Metrics) {
    Store.setListeners(
        {[](const std::string &) {}, [] {}, [](core::Millis) {}, [] {}});
  }

  RawServer Server;
  observe::Metrics Metrics{core::InstanceId("a"), core::FailureDomainId("z")};
  MonitoredStoreClient Store;
};

TEST_P(BrokenStoreAnswerTest, isNoResponseAndTheCallMayHaveBeenCarriedOut) {
  std::optional<StoreReply> reply;
  Store.send(StoreCallKind::Grant, grantLeaseCall(core::Millis(4'000)),
             core::Millis(5'000), [&](const StoreReply &it) { reply = it; });
  runUntil([&] { return reply.has_value(); });
  EXPECT_EQ(reply->Status, 0);
  EXPECT_FALSE(http1::isUnsent(reply->Failure));
  EXPECT_FALSE(isProcessed(*reply));
  EXPECT_FALSE(Store.hasStoreResponded());
  EXPECT_EQ(reply->Defect.empty(),
            reply->Failure != http1::CallFailure::Malformed);
}

INSTANTIATE_TEST_SUITE_P(Forms, BrokenStoreAnswerTest,
                         testing::ValuesIn(support::brokenAnswers("")),
                         [](const auto &it) { return it.param.Name; });

} // namespace
