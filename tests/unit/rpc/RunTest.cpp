#include "cowslipridge/core/Error.hpp"
#include "unit/rpc/RpcHarness.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::rpc;
using core::Errc;
using core::Outcome;

namespace {

RunResult ranWell() {
  RunResult result;
  result.Result = Outcome::Ran;
  return result;
}

void answerInThreeFrames(const RunRequest &request,
                         const std::shared_ptr<AnswerSink> &sink) {
  sink->head(200, {{"Content-Type", "text/plain"}});
  sink->frame(request.Body);
  sink->frame("-");
  sink->frame(request.Request.str());
  sink->end(ranWell());
}

TEST(Run, bringsTheWholeAnswerInOrder) {
  RpcPair pair(answerInThreeFrames);
  ASSERT_TRUE(pair.waitConnected());
  RunRequest request = makeRequest();
  request.Body = "body";
  const HeardAnswer heard = pair.run(request);
  ASSERT_TRUE(heard.Result);
  EXPECT_FALSE(heard.Result->Error) << heard.Result->Detail;
  EXPECT_EQ(heard.Result->Result, Outcome::Ran);
  EXPECT_EQ(heard.Status, 200);
  EXPECT_EQ(heard.Body, "body-r1");
  EXPECT_EQ(heard.Result->Frames, 3U);
}

TEST(Run, mayBeDroppedByItsOwnEndEvent) {
  RpcPair pair(answerInThreeFrames);
  ASSERT_TRUE(pair.waitConnected());
  std::shared_ptr<RemoteCall> call;
  std::atomic<bool> ended = false;
  pair.onLoop([&] {
    AnswerEvents events;
    events.OnHead = [](int, const http::Headers &) {};
    events.OnFrame = [](const std::string &) {};
    events.OnEnd = [&](const RunResult &result) {
      EXPECT_FALSE(result.Error);
      call.reset();
      ended = true;
    };
    call = pair.client().run(makeRequest(), std::move(events));
  });
  EXPECT_TRUE(support::eventually([&] { return ended.load(); }));
}

TEST(Run, withoutAConnectionDidNotRun) {
  RpcPair pair(answerInThreeFrames, std::string(32, 'x'));
  const HeardAnswer heard = pair.run(makeRequest());
  ASSERT_TRUE(heard.Result);
  EXPECT_EQ(heard.Result->Error, Errc::RunnerUnavailable);
  EXPECT_EQ(heard.Result->Result, Outcome::NotRun);
}

TEST(Run, isUnknownWhenTheConnectionBreaksAfterSending) {
  std::shared_ptr<AnswerSink> kept;
  RpcPair pair([&](const RunRequest &, const std::shared_ptr<AnswerSink> &it) {
    kept = it;
    it->head(200, {});
    it->frame("first");
  });
  ASSERT_TRUE(pair.waitConnected());
  const auto call = pair.start(makeRequest());
  ASSERT_TRUE(
      support::eventually([&] { return pair.heard().Body == "first"; }));
  pair.closeServer();
  ASSERT_TRUE(pair.waitEnd());
  EXPECT_EQ(pair.heard().Result->Error, Errc::OutcomeUnknown);
  EXPECT_EQ(pair.heard().Result->Result, Outcome::Unknown);
}

TEST(Run, endsAtTheDeadlineWhenThePeerIsSilent) {
  std::shared_ptr<AnswerSink> kept;
  RpcPair pair([&](const RunRequest &, const std::shared_ptr<AnswerSink> &it) {
    kept = it;
  });
  ASSERT_TRUE(pair.waitConnected());
  RunRequest request = makeRequest();
  request.Remaining = core::Millis(50);
  const HeardAnswer heard = pair.run(request);
  ASSERT_TRUE(heard.Result);
  EXPECT_EQ(heard.Result->Error, Errc::DeadlineExceeded);
  EXPECT_EQ(heard.Result->Result, Outcome::Unknown);
}

TEST(Run, isAbandonedAtThePeerWhenTheAskerCancels) {
  std::shared_ptr<AnswerSink> kept;
  RpcPair pair([&](const RunRequest &, const std::shared_ptr<AnswerSink> &it) {
    kept = it;
    it->head(200, {});
  });
  ASSERT_TRUE(pair.waitConnected());
  const auto call = pair.start(makeRequest());
  ASSERT_TRUE(support::eventually([&] { return pair.heard().Status == 200; }));
  pair.onLoop([&] { call->cancel(); });
  EXPECT_TRUE(
      support::eventually([&] { return pair.handler().abandoned() == 1; }));
  EXPECT_FALSE(pair.heard().Result);
}

TEST(Run, incompleteRequestIsMalformedAndDidNotRun) {
  RpcPair pair(answerInThreeFrames);
  ASSERT_TRUE(pair.waitConnected());
  RunRequest request = makeRequest();
  request.Organisation = {};
  const HeardAnswer heard = pair.run(request);
  ASSERT_TRUE(heard.Result);
  EXPECT_EQ(heard.Result->Error, Errc::Malformed);
  EXPECT_EQ(heard.Result->Result, Outcome::NotRun);
}

TEST(Run, manyFramesArriveWholeThroughFlowControl) {
  constexpr std::size_t Frames = 2'000;
  RpcPair pair([](const RunRequest &, const std::shared_ptr<AnswerSink> &it) {
    for (std::size_t n = 0; n < Frames; ++n)
      it->frame(std::string(1'000, static_cast<char>('a' + n % 26)));
    it->end(ranWell());
  });
  ASSERT_TRUE(pair.waitConnected());
  const HeardAnswer heard = pair.run(makeRequest());
  ASSERT_TRUE(heard.Result);
  EXPECT_FALSE(heard.Result->Error);
  ASSERT_EQ(heard.Body.size(), Frames * 1'000);
  for (std::size_t n = 0; n < Frames; ++n)
    ASSERT_EQ(heard.Body[n * 1'000], static_cast<char>('a' + n % 26));
}

TEST(PeerClient, exchangesStatusBundleAndBills) {
  RpcPair pair(answerInThreeFrames);
  ASSERT_TRUE(pair.waitConnected());
  std::atomic<int> done = 0;
  pair.onLoop([&] {
    PeerStatus status;
    status.Configuration = core::Generation(5);
    pair.client().exchange(status, core::Millis(1'000), [&](auto reply) {
      EXPECT_TRUE(reply.ok() && reply->Configuration == core::Generation(5));
      EXPECT_EQ(reply->Instance.str(), "callee");
      ++done;
    });
    pair.client().fetchBundle(core::Millis(1'000), [&](auto bundle) {
      EXPECT_TRUE(bundle.ok() && bundle->Number == core::Generation(7));
      ++done;
    });
    pair.client().offerBundle({core::Generation(9), "{}"}, core::Millis(1'000),
                              [&](auto number) {
                                EXPECT_EQ(*number, core::Generation(9));
                                ++done;
                              });
    pair.client().deliverBills({"a", "b"}, core::Millis(1'000), [&](auto n) {
      EXPECT_TRUE(n.ok() && *n == 2U);
      ++done;
    });
  });
  EXPECT_TRUE(support::eventually([&] { return done == 4; }));
}

TEST(PeerClient, strangersAreRefusedAndReported) {
  RpcPair pair(answerInThreeFrames, std::string(32, 'x'));
  // A caller with another key finds that the peer's proof is wrong and sends
  // none of its own; the peer then closes it as a stranger.
  EXPECT_TRUE(support::eventually([&] {
    for (const observe::Event &it : pair.serverEvents().since(0)) {
      if (it.Number == observe::EventNumber::PeerRefused)
        return true;
    }
    return false;
  }));
}

} // namespace
