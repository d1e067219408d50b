// End-to-end tests of requests from a caller through entry and sidecar to a
// runner, and of the answers on the way back.

#include "support/Cluster.hpp"
#include "support/Declarations.hpp"

#include "standins/CompletionAnswer.hpp"

#include "support/RawSocket.hpp"
#include "support/Waiting.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::integration;
using cowslipridge::support::eventually;
using nlohmann::json;

namespace {

class RequestPathTest : public ::testing::Test {
protected:
  void SetUp() override {
    Fleet.publish({fittingText(), deskText()});
    Runner = &Fleet.addRunner("fit-1");
    PlainRunner = &Fleet.addPlainRunner("desk-1");
    Fleet.addSidecar("fit-1", "fitting", "small@1, large@1", *Runner);
    Fleet.addSidecar("desk-1", "desk", "desk@1", *PlainRunner);
    Entry = &Fleet.addEntry("entry-1");
    Steward = std::make_unique<Caller>(Entry->base(), StewardKey);
    // The entry discovers sidecars by polling the list of instances.
    ASSERT_TRUE(eventually([this] {
      return Steward->call(makeChat({.Service = "fitting"})).status() == 200 &&
             Steward->get("/services/desk/rinks").status() == 200;
    })) << Entry->process().log();
  }

  CallResult book(const std::string &key) {
    return Steward->call({"POST",
                          "/services/desk/bookings",
                          {{"Idempotency-Key", key}},
                          "a four"});
  }

  /// Returns the number of runs in state `state` at the model runner.
  std::size_t runsInState(const std::string &state) {
    std::size_t count = 0;
    const json page = Runner->page("/debug/runs");
    for (const json &run : page["runs"])
      count += run["state"] == state ? 1 : 0;
    return count;
  }

  std::uint64_t totalRuns() {
    return Runner->page("/debug/runs")["total"].get<std::uint64_t>();
  }

  /// Checks that the answer is the complete one to the request that its header
  /// names.
  static void expectCompleteAnswer(const CallResult &result, int tokens) {
    EXPECT_EQ(result.status(), 200) << result.Response.Body;
    EXPECT_EQ(result.header("Cowslipridge-Outcome"), "ran");
    const std::string text = answerTextOf(result);
    const std::string request = result.header("Cowslipridge-Request");
    const bool small = text.find("by small]") != std::string::npos;
    EXPECT_EQ(text, standins::answerText({request, small ? "small" : "large"},
                                         static_cast<std::size_t>(tokens)));
  }

  static void expectProblem(const CallResult &result, int status,
                            const std::string &slug) {
    EXPECT_EQ(result.status(), status) << result.Response.Body;
    EXPECT_EQ(result.header("Content-Type"), "application/problem+json");
    const json body = result.json();
    ASSERT_TRUE(body.is_object()) << result.Response.Body;
    EXPECT_NE(body.value("type", "").find(slug), std::string::npos) << body;
  }

  Cluster Fleet;
  StandInProcess *Runner = nullptr;
  StandInProcess *PlainRunner = nullptr;
  Daemon *Entry = nullptr;
  std::unique_ptr<Caller> Steward;
};

TEST_F(RequestPathTest, answersAChatCompletion) {
  const auto result = Steward->call(makeChat({.Service = "fitting"}));
  expectCompleteAnswer(result, 8);
  EXPECT_EQ(result.header("Cowslipridge-Version"), "small@1");
  EXPECT_NE(result.header("Cowslipridge-Session"), "");
}

TEST_F(RequestPathTest, streamsAChatCompletion) {
  const auto result =
      Steward->call(makeChat({.Service = "fitting", .Stream = true}));
  expectCompleteAnswer(result, 8);
  EXPECT_EQ(result.header("Cowslipridge-Version"), "small@1");
  EXPECT_TRUE(result.Response.Body.ends_with("data: [DONE]\n\n"))
      << result.Response.Body;
}

TEST_F(RequestPathTest, forwardsEventsAsTheyArrive) {
  Runner->setFaults({{"slow_factor", 20}});
  auto call = Steward->start(
      makeChat({.Service = "fitting", .MaxTokens = 20, .Stream = true}));
  ASSERT_TRUE(eventually(
      [&] { return call.text().find("2/20") != std::string::npos; }));
  EXPECT_EQ(call.text().find("20/20"), std::string::npos);
  expectCompleteAnswer(call.result(), 20);
}

TEST_F(RequestPathTest, forwardsAPlainCall) {
  const auto result = Steward->call({"POST",
                                     "/services/desk/bookings?rink=2",
                                     {{"Idempotency-Key", "booking-1"}},
                                     "a four"});
  ASSERT_EQ(result.status(), 200) << result.Response.Body;
  EXPECT_EQ(result.header("Cowslipridge-Outcome"), "ran");
  const json answer = result.json();
  EXPECT_EQ(answer["target"], "/bookings?rink=2");
  EXPECT_EQ(answer["body"], "a four");
  EXPECT_EQ(answer["method"], "POST");
}

TEST_F(RequestPathTest, runsARepeatedBookingOnce) {
  const auto first = book("booking-2");
  const auto second = book("booking-2");
  EXPECT_EQ(first.status(), 200);
  EXPECT_EQ(second.header("Cowslipridge-Outcome"), "ran")
      << second.Response.Body;
  EXPECT_EQ(first.header("Cowslipridge-Request"),
            second.header("Cowslipridge-Request"));
  const json runs = PlainRunner->page("/debug/runs");
  for (const json &run : runs["runs"])
    EXPECT_EQ(run["count"], 1) << runs;
}

TEST_F(RequestPathTest, cancelsTheRunWhenTheCallerDisconnects) {
  auto call = Steward->start(
      makeChat({.Service = "fitting", .MaxTokens = 100'000, .Stream = true}));
  ASSERT_TRUE(eventually([&] { return !call.text().empty(); }));
  call.cancel();
  EXPECT_TRUE(eventually([&] { return runsInState("cancelled") == 1; }));
}

TEST_F(RequestPathTest, rejectsMissingAndUnknownKeys) {
  const auto before = totalRuns();
  expectProblem(Caller(Entry->base(), "no such key")
                    .call(makeChat({.Service = "fitting"})),
                401, "unauthenticated");
  expectProblem(Caller(Entry->base()).call(makeChat({.Service = "fitting"})),
                401, "unauthenticated");
  EXPECT_EQ(totalRuns(), before);
}

TEST_F(RequestPathTest, rejectsCallsToAnotherOrganisationsService) {
  Caller parent(Entry->base(), ParentKey);
  expectProblem(parent.get("/services/desk/rinks"), 403, "not-allowed");
}

TEST_F(RequestPathTest, rejectsUnknownServices) {
  expectProblem(Steward->call(makeChat({.Service = "none"})), 404,
                "unknown-service");
  expectProblem(Steward->get("/services/none/x"), 404, "unknown-service");
}

TEST_F(RequestPathTest, rejectsMalformedBodies) {
  const auto before = totalRuns();
  for (const std::string &body :
       {std::string("{"), std::string("[]"), std::string("{\"model\":7}"),
        std::string("\xff\xfe"), std::string()}) {
    const auto result =
        Steward->call({"POST", "/v1/chat/completions", {}, body});
    expectProblem(result, 400, "malformed");
    EXPECT_EQ(result.header("Cowslipridge-Outcome"), "not-run") << body;
  }
  EXPECT_EQ(totalRuns(), before);
}

TEST_F(RequestPathTest, rejectsOversizedRequests) {
  const std::string prompt(std::size_t{2} * 1024 * 1024, 'x');
  expectProblem(
      Steward->call(makeChat({.Service = "fitting", .Prompt = prompt})), 413,
      "too-large");
  auto request = makeChat({.Service = "fitting"});
  request.Fields.push_back({"X-Big", std::string(40'000, 'x')});
  expectProblem(Steward->call(request), 413, "too-large");
}

TEST_F(RequestPathTest, survivesBytesThatAreNotHttp) {
  for (const std::string &bytes :
       {std::string("\x16\x03\x01\x02\x00\x01\x00\x01\r\n\r\n", 12),
        std::string("POST /v1/chat/completions\r\n\r\n")}) {
    const auto socket = support::RawSocket::connect(support::loopbackAddress(),
                                                    Entry->httpPort());
    socket.send(bytes);
    EXPECT_EQ(socket.receiveUntil("\r\n\r\n").substr(0, 12), "HTTP/1.1 400");
  }
  expectCompleteAnswer(Steward->call(makeChat({.Service = "fitting"})), 8);
}

TEST_F(RequestPathTest, neverForwardsGarbageFromARunner) {
  Runner->setFaults({{"garbage", true}});
  const auto completion = Steward->call(makeChat({.Service = "fitting"}));
  EXPECT_GE(completion.status(), 500);
  EXPECT_NE(completion.header("Cowslipridge-Outcome"), "not-run");
  const auto streamed =
      Steward->call(makeChat({.Service = "fitting", .Stream = true}));
  EXPECT_TRUE(streamed.Error || streamed.status() >= 500)
      << streamed.Response.Body;
  Runner->setFaults(json::object());
  EXPECT_TRUE(eventually([&] {
    return Steward->call(makeChat({.Service = "fitting"})).status() == 200;
  }));
}

TEST_F(RequestPathTest, neverPresentsAnInterruptedStreamAsComplete) {
  Runner->setFaults({{"break_after_events", 3}});
  const auto result =
      Steward->call(makeChat({.Service = "fitting", .Stream = true}));
  EXPECT_TRUE(result.Error) << result.Response.Body;
  EXPECT_NE(result.Response.Body.find("event: error"), std::string::npos)
      << result.Response.Body;
  EXPECT_EQ(result.Response.Body.find("[DONE]"), std::string::npos);
}

TEST_F(RequestPathTest, rejectsEventsOfAnotherRequest) {
  Runner->setFaults({{"wrong_id", true}});
  const auto result =
      Steward->call(makeChat({.Service = "fitting", .Stream = true}));
  EXPECT_TRUE(result.Error || result.status() >= 500) << result.Response.Body;
}

TEST_F(RequestPathTest, rejectsAWithdrawnVersion) {
  Fleet.publish({fittingText("withdrawn"), deskText()});
  ASSERT_TRUE(eventually([&] {
    return Steward->call(makeChat({.Service = "fitting"})).status() != 200;
  }));
  const auto before = totalRuns();
  const auto result = Steward->call(makeChat({.Service = "fitting"}));
  EXPECT_EQ(result.header("Cowslipridge-Outcome"), "not-run")
      << result.Response.Body;
  EXPECT_EQ(totalRuns(), before);
  Caller parent(Entry->base(), ParentKey);
  const auto other = parent.call(makeChat({.Service = "fitting"}));
  EXPECT_EQ(other.status(), 200) << other.Response.Body;
  EXPECT_EQ(other.header("Cowslipridge-Version"), "large@1");
}

TEST_F(RequestPathTest, keepsASessionOnItsVersion) {
  Caller parent(Entry->base(), ParentKey);
  const auto first = parent.call(makeChat({.Service = "fitting"}));
  const std::string token = first.header("Cowslipridge-Session");
  const std::string version = first.header("Cowslipridge-Version");
  ASSERT_NE(token, "") << first.Response.Body;
  for (int i = 0; i < 5; ++i) {
    const auto next = parent.call(makeChat(
        {.Service = "fitting", .Fields = {{"Cowslipridge-Session", token}}}));
    EXPECT_EQ(next.header("Cowslipridge-Version"), version);
  }
  const auto forged = parent.call(
      makeChat({.Service = "fitting",
                .Fields = {{"Cowslipridge-Session", "A" + token}}}));
  EXPECT_GE(forged.status(), 400);
  EXPECT_EQ(forged.header("Cowslipridge-Outcome"), "not-run");
}

} // namespace
