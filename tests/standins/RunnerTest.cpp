#include "HostFixture.hpp"

#include "standins/ModelRunner.hpp"
#include "standins/PlainService.hpp"
#include "standins/RatingService.hpp"
#include "standins/WeightServer.hpp"

using namespace cowslipridge;
using namespace cowslipridge::standins;
using nlohmann::json;

namespace {

class ModelRunnerTest : public HostFixture {
protected:
  void SetUp() override {
    Settings.Name = "runner-1";
    Settings.Models = {{"small", 0.8}};
    Settings.TokensPerSecond = 1000;
    Settings.PrefillPerThousandTokens = core::Millis(0);
  }

  void open() { Base = host(std::make_shared<ModelRunner>(Settings, Timer)); }

  [[nodiscard]] static http::Request
  completionRequest(const std::string &id, const json &extra = json::object(),
                    const std::string &prompt = "hello") {
    json body = {
        {"model", "small"},
        {"messages", json::array({{{"role", "user"}, {"content", prompt}}})},
        {"max_tokens", 5}};
    body.update(extra);
    return {"POST",
            "/v1/chat/completions",
            {{"X-Request-Id", id}, {"Content-Type", "application/json"}},
            body.dump()};
  }

  json usage(const http::Request &request) {
    return json::parse(call(Base, request).Body)["usage"];
  }

  json findRun(const std::string &id) {
    const json runs = page(Base, "/debug/runs")["runs"];
    for (const json &run : runs)
      if (run["request"] == id)
        return run;
    return nullptr;
  }

  ModelRunnerSettings Settings;
  std::string Base;
};

TEST_F(ModelRunnerTest, answersWithoutStreaming) {
  open();
  const auto response = call(Base, completionRequest("r1"));
  EXPECT_EQ(response.Status, 200);
  const json body = json::parse(response.Body);
  EXPECT_EQ(body["id"], "chatcmpl-r1");
  EXPECT_EQ(body["choices"][0]["message"]["content"],
            answerText({"r1", "small"}, 5));
  EXPECT_EQ(body["usage"]["completion_tokens"], 5);
  EXPECT_EQ(findRun("r1")["count"], 1);
  EXPECT_EQ(findRun("r1")["state"], "finished");
}

TEST_F(ModelRunnerTest, streamsSameTextAsUnstreamedAnswer) {
  open();
  const auto response = call(Base, completionRequest("r1", {{"stream", true}}));
  std::string text;
  std::string rest = response.Body;
  ASSERT_TRUE(rest.ends_with("data: [DONE]\n\n"));
  for (auto end = rest.find("\n\n"); end != std::string::npos;
       end = rest.find("\n\n")) {
    const std::string data = rest.substr(6, end - 6);
    rest.erase(0, end + 2);
    if (data == "[DONE]")
      break;
    const json chunk = json::parse(data);
    for (const json &choice : chunk["choices"])
      text += choice["delta"].value("content", "");
  }
  EXPECT_EQ(text, answerText({"r1", "small"}, 5));
}

TEST_F(ModelRunnerTest, countsTokensOfCachedPrefix) {
  Settings.CacheBlocks = 4;
  open();
  std::string prompt;
  for (int i = 0; i < 40; ++i)
    prompt += "w" + std::to_string(i) + " ";
  EXPECT_EQ(usage(completionRequest("a", json::object(),
                                    prompt))["prompt_tokens_details"],
            (json{{"cached_tokens", 0}}));
  EXPECT_EQ(usage(completionRequest("b", json::object(),
                                    prompt + "more"))["prompt_tokens_details"],
            (json{{"cached_tokens", 32}}));
  std::string other;
  for (int i = 0; i < 64; ++i)
    other += "x" + std::to_string(i) + " ";
  usage(completionRequest("c", json::object(), other));
  EXPECT_EQ(usage(completionRequest("d", json::object(),
                                    prompt))["prompt_tokens_details"],
            (json{{"cached_tokens", 0}}))
      << "prefix should have been evicted";
}

TEST_F(ModelRunnerTest, prefillTimeDependsOnUncachedTokens) {
  Settings.PrefillPerThousandTokens = core::Millis(20'000);
  open();
  std::string prompt;
  for (int i = 0; i < 16; ++i)
    prompt += "w ";
  const auto start = Timer->now();
  usage(completionRequest("a", json::object(), prompt));
  const auto middle = Timer->now();
  EXPECT_GE(middle - start, core::Millis(320));
  usage(completionRequest("b", json::object(), prompt));
  EXPECT_LT(Timer->now() - middle, middle - start);
}

TEST_F(ModelRunnerTest, runsQueuedRequestsByPriority) {
  Settings.Slots = 1;
  Settings.TokensPerSecond = 20;
  open();
  http::Client client(Base, CallTimeout);
  std::mutex guard;
  std::vector<std::string> order;
  const auto send = [&](const std::string &id, int priority) {
    client.fetchAsync(completionRequest(id, {{"priority", priority}}),
                      [&, id](const auto &) {
                        const std::lock_guard lock(guard);
                        order.push_back(id);
                      });
  };
  send("first", 0);
  ASSERT_TRUE(support::eventually([&] { return findRun("first") != nullptr; }));
  send("late", 5);
  ASSERT_TRUE(support::eventually([&] {
    return call(Base, {"GET", "/metrics", {}, ""})
               .Body.find("num_requests_waiting 1") != std::string::npos;
  }));
  send("urgent", 1);
  ASSERT_TRUE(support::eventually([&] {
    const std::lock_guard lock(guard);
    return order.size() == 3;
  }));
  EXPECT_EQ(order, (std::vector<std::string>{"first", "urgent", "late"}));
}

TEST_F(ModelRunnerTest, cancelsRunAfterClientDisconnect) {
  Settings.TokensPerSecond = 100;
  open();
  http::Client client(Base, CallTimeout);
  support::EventualValue<bool> started;
  http::ResponseEvents events;
  events.OnChunk = [&](const std::string &) { started.set(true); };
  const auto exchange = client.send(
      completionRequest("r1", {{"stream", true}, {"max_tokens", 100'000}}),
      events);
  ASSERT_TRUE(started.get());
  exchange->cancel();
  EXPECT_TRUE(support::eventually(
      [&] { return findRun("r1")["state"] == "cancelled"; }));
}

TEST_F(ModelRunnerTest, rejectsInvalidRequestsUnknownModelsAndPaths) {
  open();
  EXPECT_EQ(call(Base, completionRequest("r", {{"model", "none"}})).Status,
            404);
  EXPECT_EQ(call(Base, {"POST", "/v1/chat/completions", {}, "{"}).Status, 400);
  EXPECT_EQ(call(Base, {"POST", "/v1/chat/completions", {}, "[1]"}).Status,
            400);
  EXPECT_EQ(call(Base, {"GET", "/none", {}, ""}).Status, 404);
  EXPECT_EQ(page(Base, "/debug/runs")["total"], 0);
}

TEST_F(ModelRunnerTest, rejectsLoadCommandWithOldFencingNumber) {
  Settings.WeightsAddress =
      host(std::make_shared<WeightServer>(WeightSettings{}, Timer));
  open();
  const auto load = [&](const std::string &model, int fence) {
    return call(Base, {"POST",
                       "/v1/load_lora_adapter",
                       {{"Fencing-Number", std::to_string(fence)}},
                       json{{"lora_name", model}}.dump()})
        .Status;
  };
  EXPECT_EQ(load("large", 7), 200);
  EXPECT_EQ(load("other", 6), 409);
  EXPECT_EQ(call(Base, completionRequest("r", {{"model", "large"}})).Status,
            200);
  EXPECT_EQ(call(Base, completionRequest("r", {{"model", "other"}})).Status,
            404);
  EXPECT_EQ(page(Base, "/debug/orders")["refused"], 1);
}

TEST_F(ModelRunnerTest, ignoresFencingNumbersWhenChecksAreDisabled) {
  Settings.ChecksFencing = false;
  open();
  for (const int fence : {7, 6})
    EXPECT_EQ(call(Base, {"POST",
                          "/v1/load_lora_adapter",
                          {{"Fencing-Number", std::to_string(fence)}},
                          R"({"lora_name":"x"})"})
                  .Status,
              200);
}

TEST_F(ModelRunnerTest, submitsGradesOfFinishedAnswers) {
  const std::string ratings =
      host(std::make_shared<RatingService>(RatingSettings{}, Timer));
  Settings.RatingsAddress = ratings;
  open();
  call(Base, completionRequest("good"));
  call(Base, {"PUT", "/debug/quality", {}, R"({"small":0.0})"});
  call(Base, completionRequest("bad"));
  ASSERT_TRUE(support::eventually(
      [&] { return page(ratings, "/debug/grades")["published"] == 2; }));
  const json grades = page(ratings, "/grades?subject=runner-1");
  for (const json &grade : grades) {
    if (grade["subject"] == "good")
      EXPECT_GT(grade["data"]["score"], 0.5);
    else
      EXPECT_LT(grade["data"]["score"], 0.5);
  }
}

TEST_F(ModelRunnerTest, injectsResponseFaults) {
  open();
  setFaults(Base, {{"break_after_events", 2}});
  http::Client client(Base, CallTimeout);
  EXPECT_FALSE(client.fetch(completionRequest("cut", {{"stream", true}})));
  setFaults(Base, {{"wrong_id", true}});
  EXPECT_EQ(json::parse(call(Base, completionRequest("r1")).Body)["id"],
            "chatcmpl-other-r1");
  setFaults(Base, {{"duplicate", true}});
  const auto duplicated =
      call(Base, completionRequest("r2", {{"stream", true}}));
  const auto done = duplicated.Body.find("data: [DONE]");
  EXPECT_NE(duplicated.Body.find("data: [DONE]", done + 1), std::string::npos);
  setFaults(Base, {{"garbage", true}});
  EXPECT_TRUE(
      json::parse(call(Base, completionRequest("r3")).Body, nullptr, false)
          .is_discarded());
  setFaults(Base, {{"status", 500}});
  EXPECT_EQ(call(Base, completionRequest("never")).Status, 500);
  EXPECT_EQ(findRun("never"), nullptr);
  setFaults(Base, json::object());
  EXPECT_EQ(call(Base, completionRequest("r4")).Status, 200);
}

TEST_F(ModelRunnerTest, rejectsUnknownAndMalformedFaults) {
  open();
  for (const char *body : {R"({"colour":"red"})", R"({"outage":1})", "[]", "{"})
    EXPECT_EQ(call(Base, {"PUT", "/debug/faults", {}, body}).Status, 400);
}

class PlainServiceTest : public HostFixture {
protected:
  std::string Base =
      host(std::make_shared<PlainService>(core::Millis(1), Timer));
};

TEST_F(PlainServiceTest, countsRunsWhoseRepliesAreLost) {
  const http::Request booking = {
      "POST",
      "/bookings?x=1",
      {{"X-Request-Id", "r1"}, {"Idempotency-Key", "key-1"}},
      "pram"};
  const json answer = json::parse(call(Base, booking).Body);
  EXPECT_EQ(answer["request"], "r1");
  EXPECT_EQ(answer["target"], "/bookings?x=1");
  EXPECT_EQ(answer["body"], "pram");
  setFaults(Base, {{"lose_replies", 1}});
  http::Client client(Base, CallTimeout);
  EXPECT_FALSE(client.fetch(booking));
  const json runs = page(Base, "/debug/runs");
  EXPECT_EQ(runs["by_key"]["key-1"], 2);
  EXPECT_EQ(runs["total"], 2);
}

TEST_F(PlainServiceTest, holdsRequestsUntilHangEnds) {
  setFaults(Base, {{"outage", "hang"}});
  http::Client client(Base, CallTimeout);
  support::EventualValue<bool> ended;
  client.fetchAsync({"POST", "/", {}, ""},
                    [&](const auto &) { ended.set(true); });
  ASSERT_TRUE(support::eventually(
      [&] { return page(Base, "/debug/calls")["calls"] == 1; }));
  EXPECT_FALSE(ended.get(std::chrono::milliseconds(0)));
  setFaults(Base, json::object());
  EXPECT_TRUE(ended.get());
  EXPECT_EQ(page(Base, "/debug/runs")["total"], 0);
}

} // namespace
