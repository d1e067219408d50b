#include "cowslipridge/core/Error.hpp"
#include "unit/rpc/RpcHarness.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

using namespace cowslipridge;
using namespace cowslipridge::rpc;
using core::Errc;
using core::Outcome;

namespace {

RunResult succeeded() {
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
  sink->end(succeeded());
}

TEST(Run, deliversTheCompleteAnswerInOrder) {
  RpcPair pair(answerInThreeFrames);
  ASSERT_TRUE(pair.waitConnected());
  RunRequest request = makeRequest();
  request.Body = "body";
  const ReceivedAnswer received = pair.run(request);
  ASSERT_TRUE(received.Result);
  EXPECT_FALSE(received.Result->Error) << received.Result->Detail;
  EXPECT_EQ(received.Result->Result, Outcome::Ran);
  EXPECT_EQ(received.Status, 200);
  EXPECT_EQ(received.Body, "body-r1");
  EXPECT_EQ(received.Result->Frames, 3U);
}

TEST(Run, mayBeDestroyedByItsOwnEndCallback) {
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

TEST(Run, reportsNotRunWithoutAConnection) {
  RpcPair pair(answerInThreeFrames, std::string(32, 'x'));
  const ReceivedAnswer received = pair.run(makeRequest());
  ASSERT_TRUE(received.Result);
  EXPECT_EQ(received.Result->Error, Errc::RunnerUnavailable);
  EXPECT_EQ(received.Result->Result, Outcome::NotRun);
}

TEST(Run, reportsUnknownWhenTheConnectionBreaksAfterSending) {
  std::shared_ptr<AnswerSink> heldSink;
  RpcPair pair([&](const RunRequest &, const std::shared_ptr<AnswerSink> &it) {
    heldSink = it;
    it->head(200, {});
    it->frame("first");
  });
  ASSERT_TRUE(pair.waitConnected());
  const auto call = pair.start(makeRequest());
  ASSERT_TRUE(
      support::eventually([&] { return pair.received().Body == "first"; }));
  pair.closeServer();
  ASSERT_TRUE(pair.waitEnd());
  EXPECT_EQ(pair.received().Result->Error, Errc::OutcomeUnknown);
  EXPECT_EQ(pair.received().Result->Result, Outcome::Unknown);
}

TEST(Run, endsAtTheDeadlineWhenThePeerIsUnresponsive) {
  std::shared_ptr<AnswerSink> heldSink;
  RpcPair pair([&](const RunRequest &, const std::shared_ptr<AnswerSink> &it) {
    heldSink = it;
  });
  ASSERT_TRUE(pair.waitConnected());
  RunRequest request = makeRequest();
  request.Remaining = core::Millis(50);
  const ReceivedAnswer received = pair.run(request);
  ASSERT_TRUE(received.Result);
  EXPECT_EQ(received.Result->Error, Errc::DeadlineExceeded);
  EXPECT_EQ(received.Result->Result, Outcome::Unknown);
}

/// Lets time pass while the caller's loop handles nothing.
void stall(RpcPair &pair, std::chrono::milliseconds length) {
  pair.onLoop([length] { std::this_thread::sleep_for(length); });
}

/// Runs one request and returns how its caller saw it end.
std::optional<RunResult> runOnce(RpcPair &pair) {
  support::EventualValue<RunResult> end;
  std::shared_ptr<RemoteCall> call;
  pair.onLoop([&] {
    AnswerEvents events;
    events.OnHead = [](int, const http::Headers &) {};
    events.OnFrame = [](const std::string &) {};
    events.OnEnd = [&](const RunResult &result) { end.set(result); };
    call = pair.client().run(makeRequest(), std::move(events));
  });
  return end.get();
}

// Guards against "not run" of a run whose deadline expired at the caller while
// its loop stood still and the answer arrived.
TEST(Run, stallPastTheDeadlineNeverMakesASentRunNotRun) {
  std::atomic<int> runs = 0;
  RpcPair pair(
      [&](const RunRequest &request, const std::shared_ptr<AnswerSink> &sink) {
        ++runs;
        answerInThreeFrames(request, sink);
      });
  ASSERT_TRUE(pair.waitConnected());
  RunRequest request = makeRequest();
  request.Remaining = core::Millis(50);
  const auto call = pair.start(request);
  stall(pair, std::chrono::milliseconds(400));
  ASSERT_TRUE(pair.waitEnd());
  EXPECT_EQ(runs, 1);
  EXPECT_NE(pair.received().Result->Result, Outcome::NotRun);
}

// Guards against "not run" of a run that was sent on a connection whose connect
// timeout expired in the same turn in which it was made.
TEST(Run, stallWhileConnectingNeverMakesASentRunNotRun) {
  for (const int length : {950, 1'000, 1'100}) {
    std::atomic<int> runs = 0;
    RpcPair pair([&](const RunRequest &request,
                     const std::shared_ptr<AnswerSink> &sink) {
      ++runs;
      answerInThreeFrames(request, sink);
    });
    stall(pair, std::chrono::milliseconds(length));
    EXPECT_TRUE(support::eventually([&] {
      const int before = runs;
      const auto result = runOnce(pair);
      if (result && result->Result == Outcome::NotRun) {
        EXPECT_EQ(runs, before);
      }
      return result && result->Result == Outcome::Ran;
    }));
  }
}

TEST(Run, isAbandonedAtThePeerWhenTheCallerCancels) {
  std::shared_ptr<AnswerSink> heldSink;
  RpcPair pair([&](const RunRequest &, const std::shared_ptr<AnswerSink> &it) {
    heldSink = it;
    it->head(200, {});
  });
  ASSERT_TRUE(pair.waitConnected());
  const auto call = pair.start(makeRequest());
  ASSERT_TRUE(
      support::eventually([&] { return pair.received().Status == 200; }));
  pair.onLoop([&] { call->cancel(); });
  EXPECT_TRUE(
      support::eventually([&] { return pair.handler().abandoned() == 1; }));
  EXPECT_FALSE(pair.received().Result);
}

TEST(Run, rejectsAnIncompleteRequestWithoutRunningIt) {
  RpcPair pair(answerInThreeFrames);
  ASSERT_TRUE(pair.waitConnected());
  RunRequest request = makeRequest();
  request.Organisation = {};
  const ReceivedAnswer received = pair.run(request);
  ASSERT_TRUE(received.Result);
  EXPECT_EQ(received.Result->Error, Errc::Malformed);
  EXPECT_EQ(received.Result->Result, Outcome::NotRun);
}

TEST(Run, deliversAllFramesUnderFlowControl) {
  constexpr std::size_t Frames = 2'000;
  RpcPair pair([](const RunRequest &, const std::shared_ptr<AnswerSink> &it) {
    for (std::size_t n = 0; n < Frames; ++n)
      it->frame(std::string(1'000, static_cast<char>('a' + n % 26)));
    it->end(succeeded());
  });
  ASSERT_TRUE(pair.waitConnected());
  const ReceivedAnswer received = pair.run(makeRequest());
  ASSERT_TRUE(received.Result);
  EXPECT_FALSE(received.Result->Error);
  ASSERT_EQ(received.Body.size(), Frames * 1'000);
  for (std::size_t n = 0; n < Frames; ++n)
    ASSERT_EQ(received.Body[n * 1'000], static_cast<char>('a' + n % 26));
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
    pair.client().deliverBills(core::InstanceId("entry-1"), {"a", "b"},
                               core::Millis(1'000), [&](auto n) {
                                 EXPECT_TRUE(n.ok() && *n == 2U);
                                 ++done;
                               });
  });
  EXPECT_TRUE(support::eventually([&] { return done == 4; }));
}

TEST(PeerClient, refusesAndReportsUnauthenticatedPeers) {
  RpcPair pair(answerInThreeFrames, std::string(32, 'x'));
  // A caller with another fleet key rejects the server's proof and sends none
  // of its own. The server must then report and close the unauthenticated
  // connection.
  EXPECT_TRUE(support::eventually([&] {
    for (const observe::Event &it : pair.serverEvents().since(0)) {
      if (it.Number == observe::EventNumber::PeerRefused)
        return true;
    }
    return false;
  }));
}

} // namespace
