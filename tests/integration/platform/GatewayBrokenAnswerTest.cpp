#include "integration/platform/GatewayFixture.hpp"

#include "support/BrokenAnswers.hpp"
#include "support/RawServer.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <vector>

using namespace cowslipridge;
using namespace cowslipridge::integration;
using support::RawBehaviour;
using support::RawServer;

namespace {

const std::string Signature = "Response-Signature: signed\r\n";

/// Returns the line with the id of the request with this head.
std::string idFor(const std::string &head) {
  return "Attempt-Id: " + support::fieldIn(head, "Attempt-Id") + "\r\n";
}

/// Returns lines of the head that a sound answer has as well.
std::string fieldsFor(const std::string &head) {
  return idFor(head) + Signature;
}

/// Callers of a service with a runner whose answers are none.
class GatewayBrokenAnswerTest : public GatewayTest {
protected:
  void addFaultyRunner(RawBehaviour behaviour, RawServer::Answer answer) {
    Faulty.emplace(Loop, ownAddress(), behaviour, std::move(answer));
    Store.store().put("servers/faulty",
                      json{{"service", "desk"},
                           {"address", text(Faulty->address())},
                           {"zone", "zone-1"},
                           {"version", "v1"},
                           {"slots", 8},
                           {"state", "available"},
                           {"coldRemainingMs", 0},
                           {"sequenceNumber", 1},
                           {"born", Clock.wall().count()}}
                          .dump());
  }

  /// Waits until the gateway has logged what was wrong with an answer.
  bool logs(const std::string &detail) {
    const core::Millis end = Clock.monotonic() + core::Millis(10'000);
    while (Clock.monotonic() < end) {
      const std::string log = Gateway->log();
      const std::size_t event = log.find("answer-broken");
      if (event != std::string::npos &&
          log.find("runner=faulty") != std::string::npos &&
          log.find(detail, event) != std::string::npos)
        return true;
      runUntil([] { return true; });
    }
    return false;
  }

  std::optional<RawServer> Faulty;
};

// Operators see which runner sent what, also if no caller notices.
TEST_F(GatewayBrokenAnswerTest, answerThatIsNoResponseIsLogged) {
  addFaultyRunner(RawBehaviour::AnswersAndCloses, [](const std::string &head) {
    return "HTTP/1.1 000 \r\n" + fieldsFor(head) + "\r\n";
  });
  configure();
  startAndAwaitReady();
  awaitResponse(sendRequest(Callers, request("POST", "/post/a")));
  EXPECT_TRUE(logs("bad status")) << Gateway->log();
  EXPECT_NE(
      get(Metrics, "/metrics")->Body.find("cowslipridge_broken_answers_total{"),
      std::string::npos);
}

TEST_F(GatewayBrokenAnswerTest, answerThatCannotBePassedOnIsLogged) {
  addFaultyRunner(RawBehaviour::AnswersAndCloses, [](const std::string &head) {
    return "HTTP/1.1 200 OK\r\n" + idFor(head) + "\r\n";
  });
  configure();
  startAndAwaitReady();
  awaitResponse(sendRequest(Callers, request("POST", "/post/a")));
  EXPECT_TRUE(logs("the response carries no valid signature"));
}

// Guards against a part of an answer that callers get as the whole: a runner
// answers a long upload at once, without a length, and resets the connection.
TEST_F(GatewayBrokenAnswerTest, cutAnswerToAnUploadIsNoAnswer) {
  constexpr int Uploads = 10;
  constexpr std::size_t BodyBytes = 4'000'000;
  addFaultyRunner(RawBehaviour::AnswersEarlyAndResets,
                  [](const std::string &head) {
                    return "HTTP/1.1 200 OK\r\n" + fieldsFor(head) +
                           "\r\npart of an answer";
                  });
  configure();
  startAndAwaitReady();
  const std::string body(BodyBytes, 'x');
  const std::string length =
      "Content-Length: " + std::to_string(BodyBytes) + "\r\n";
  for (int n = 0; n < Uploads; ++n) {
    const auto reply = awaitResponse(
        sendRequest(Callers, request("POST", "/post/a", length) + body));
    EXPECT_NE(reply->Status, 200);
    EXPECT_EQ(reply->Body, "");
  }
  EXPECT_GE(Faulty->requests(), 1);
  EXPECT_TRUE(logs("the connection failed before the request was sent"));
}

/// Returns valid responses that are no answers of a runner to the request with
/// this head.
std::vector<support::BrokenAnswer> unusableAnswers(const std::string &head) {
  const std::string id = idFor(head);
  const std::string begin = "HTTP/1.1 200 OK\r\n" + id;
  const std::string rest = "Content-Length: 2\r\n\r\nok";
  const std::string chunks =
      "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
  return {
      {"SignatureMissing", begin + rest},
      {"SignatureEmpty", begin + "Response-Signature:\r\n" + rest},
      {"SignatureTwice", begin + Signature + Signature + rest},
      {"SignatureBehindBody", begin + chunks + Signature + "\r\n"},
      {"TwoIds", begin + "Attempt-Id: another\r\n" + Signature + rest},
      {"TwoIdsAnotherFirst",
       "HTTP/1.1 200 OK\r\nAttempt-Id: another\r\n" + id + Signature + rest},
      {"ContentEncoded",
       begin + Signature + "Content-Encoding: gzip\r\n" + rest},
      {"PartOfABody", "HTTP/1.1 206 Partial Content\r\n" + id + Signature +
                          "Content-Range: bytes 0-1/9\r\n" + rest},
      {"TwoTypes", begin + Signature + "Content-Type: text/html\r\n" +
                       "Content-Type: text/plain\r\n" + rest},
      {"TwoVersions", begin + Signature + "Weight-Versions: 7\r\n" +
                          "Weight-Versions: 8\r\n" + rest},
      {"SuccessThatDidNotRun",
       begin + Signature + "Not-Executed: 1\r\n" + rest},
  };
}

/// Returns all answers that a caller must not get.
std::vector<support::BrokenAnswer> allAnswers(const std::string &head) {
  auto all = support::brokenAnswers(fieldsFor(head));
  std::ranges::copy(unusableAnswers(head), std::back_inserter(all));
  return all;
}

class GatewayBrokenFormTest
    : public GatewayBrokenAnswerTest,
      public testing::WithParamInterface<support::BrokenAnswer> {
protected:
  void addFaultyRunner() {
    GatewayBrokenAnswerTest::addFaultyRunner(
        RawBehaviour::AnswersAndCloses, [](const std::string &head) {
          const auto all = allAnswers(head);
          return std::ranges::find(all, GetParam().Name,
                                   &support::BrokenAnswer::Name)
              ->Bytes;
        });
  }
};

// Guards against callers that get an answer that is none.
TEST_P(GatewayBrokenFormTest, unsafeRequestFailsAndRunsOnce) {
  addFaultyRunner();
  configure();
  startAndAwaitReady();
  const auto reply =
      awaitResponse(sendRequest(Callers, request("POST", "/post/a")));
  EXPECT_EQ(reply->Status, 502);
  EXPECT_EQ(reply->Body, "");
  EXPECT_EQ(Faulty->requests(), 1);
}

TEST_P(GatewayBrokenFormTest, safeRequestsAreServedByAnotherRunner) {
  constexpr int Requests = 6;
  addFaultyRunner();
  addPlainRunner("desk-1").traits().ServiceTime = core::Millis(20);
  configure();
  startAndAwaitReady();
  // Together, so that the load spreads over both runners.
  std::map<std::string, std::shared_ptr<CallRecorder>> replies;
  for (int n = 0; n < Requests; ++n) {
    const auto reply = sendRequest(Callers, request("GET", "/get/a"));
    replies.emplace(lastRequestId(), reply);
  }
  for (const auto &[id, reply] : replies) {
    awaitResponse(reply);
    EXPECT_EQ(reply->Status, 200);
    EXPECT_EQ(reply->Body, "answer to " + id);
  }
  EXPECT_GE(Faulty->requests(), 1);
}

INSTANTIATE_TEST_SUITE_P(Forms, GatewayBrokenFormTest,
                         testing::ValuesIn(allAnswers("")),
                         [](const auto &it) { return it.param.Name; });

} // namespace
