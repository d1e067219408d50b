#include "support/LoopFixture.hpp"

#include "integration/support/Process.hpp"

#include "cowslipridge/http1/Client.hpp"
#include "standins/platform/MetadataServer.hpp"
#include "standins/platform/PlainRunner.hpp"
#include "standins/platform/StreamingRunner.hpp"

#include <nlohmann/json.hpp>

#include <filesystem>

using namespace cowslipridge;
using namespace cowslipridge::standins::platform;
using integration::Process;
using integration::TempDir;
using nlohmann::json;
using support::RecordedCall;

namespace {

constexpr const char *Host = "shop.example";

json routeTo(const std::string &prefix, const std::string &kind,
             const std::string &service, int attempts) {
  return {{"name", prefix},
          {"host", Host},
          {"pathPrefix", prefix},
          {"routeKind", kind},
          {"timeoutMs", 4000},
          {"targetLatencyMs", 2000},
          {"priority", 1},
          {"service", service},
          {"maxAttempts", attempts},
          {"public", false},
          {"streamResumption", true},
          {"targetGapMs", 1000}};
}

/// One gateway as a process of its own, before stand-ins of the platform.
class GatewayTest : public support::LoopFixture {
protected:
  GatewayTest() : Store(Loop, Clock), Calls(Loop, Clock, {}) {
    StoreAt = freePort();
    Store.listen(StoreAt);
    Front = freePort();
    Ready = freePort();
    Metrics = freePort();
    Configuration = {{"version", 1},
                     {"routes",
                      {routeTo("/stream/", "streaming", "llm", 3),
                       routeTo("/post/", "non_idempotent", "desk", 1),
                       routeTo("/get/", "idempotent", "desk", 2)}},
                     {"services", {{{"name", "llm"}}, {{"name", "desk"}}}},
                     {"tenants", {{{"name", "one"}, {"apiKeys", {"key-1"}}}}}};
    Configuration["routes"][0]["sizes"] = {"small", "large"};
  }

  http1::Endpoint freePort() {
    Tcp::acceptor probe(Loop, anyPort());
    return probe.local_endpoint();
  }

  template <typename Runner>
  Runner &add(const std::string &id, const std::string &service) {
    RunnerTraits traits;
    traits.Id = id;
    traits.Service = service;
    auto added = std::make_unique<Runner>(Loop, Clock, traits);
    Runner &runner = *added;
    Runners.push_back(std::move(added));
    runner.listen(freePort());
    Store.store().put("servers/" + id, runner.entry("available"));
    return runner;
  }
  StreamingRunner &addModelRunner(const std::string &id) {
    return add<StreamingRunner>(id, "llm");
  }
  PlainRunner &addDesk(const std::string &id) {
    return add<PlainRunner>(id, "desk");
  }

  void configure() { Store.store().put("op/config", Configuration.dump()); }

  static std::string text(const http1::Endpoint &at) {
    return at.address().to_string() + ":" + std::to_string(at.port());
  }

  /// The addresses of one gateway, kept over its restarts.
  struct Addresses {
    http1::Endpoint Front;
    http1::Endpoint Ready;
    http1::Endpoint Metrics;
    http1::Endpoint Peers;
  };
  Addresses freeAddresses() {
    return {freePort(), freePort(), freePort(), freePort()};
  }

  void start(std::optional<Process> &process, const std::string &name,
             const Addresses &at) {
    const std::string settings = Files.write(
        name + ".ini", "[process]\ninstance = " + name +
                           "\nfailure_domain = zone-1\ngrace_period = 5s\n"
                           "[listen]\ncallers = " +
                           text(at.Front) + "\nreadiness = " + text(at.Ready) +
                           "\nmetrics = " + text(at.Metrics) +
                           "\npeers = " + text(at.Peers) +
                           "\n[store]\naddress = " + text(StoreAt) +
                           "\n[promises]\nretry_ratio = 1\n");
    process.emplace(COWSLIPRIDGE_GATEWAY_PATH,
                    std::vector<std::string>{"--settings", settings},
                    Files.path(name + ".log"));
  }
  void startGateway() {
    start(Gateway, "gateway-1", {Front, Ready, Metrics, freePort()});
  }

  void startAndAwaitReady() {
    startGateway();
    awaitReady();
  }

  void awaitReady() { awaitReady(Ready); }
  void awaitReady(const http1::Endpoint &at) {
    int status = 0;
    while (status != 200)
      status = get(at, "/v1/readiness")->Status;
  }

  std::shared_ptr<RecordedCall> get(const http1::Endpoint &server,
                                    const std::string &path) {
    return finish(
        begin(server, "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"));
  }

  std::shared_ptr<RecordedCall> begin(const http1::Endpoint &server,
                                      std::string bytes) {
    auto events = std::make_shared<RecordedCall>();
    http1::CallSpec spec;
    spec.Server = server;
    spec.Bytes = std::move(bytes);
    spec.Timeout = core::Millis(15'000);
    Handle = Calls.call(std::move(spec), events);
    return events;
  }

  std::shared_ptr<RecordedCall>
  finish(const std::shared_ptr<RecordedCall> &events) {
    runUntil([&] { return events->over(); });
    return events;
  }

  std::string request(const std::string &method, const std::string &path,
                      const std::string &fields = "") {
    return method + " " + path + " HTTP/1.1\r\nHost: " + Host +
           "\r\nAttempt-Id: id-" + std::to_string(++Ids) +
           "\r\nAuthorization: Token " + Key +
           "\r\nDeadline-Remaining: 3500\r\n" + fields + "\r\n";
  }
  std::string streamRequest() {
    return request("GET", "/stream/x",
                   "Model-Name: *\r\nToken-Usage: 100,50\r\n"
                   "Prompt-Prefix: a1:80,b2:20\r\n");
  }

  std::string lastId() const { return "id-" + std::to_string(Ids); }
  int runsOfLast() const {
    int runs = 0;
    for (const auto &it : Runners) {
      const auto found = it->runs().find(lastId());
      runs += found == it->runs().end() ? 0 : found->second;
    }
    return runs;
  }

  static std::string wholeStream(int events) {
    std::string text;
    for (int n = 1; n <= events; ++n)
      text += "id: " + std::to_string(n) + "\ndata: event " +
              std::to_string(n) + "\n\n";
    return text;
  }

  TempDir Files;
  MetadataServer Store;
  http1::Client Calls;
  http1::Endpoint StoreAt;
  http1::Endpoint Front;
  http1::Endpoint Ready;
  http1::Endpoint Metrics;
  json Configuration;
  std::vector<std::unique_ptr<PlatformRunner>> Runners;
  std::optional<Process> Gateway;
  std::shared_ptr<http1::Call> Handle;
  std::string Key = "key-1";
  int Ids = 0;
};

TEST_F(GatewayTest, servesStreamsAndPlainRequests) {
  addModelRunner("llm-1");
  PlainRunner &desk = addDesk("desk-1");
  configure();
  startAndAwaitReady();
  const auto stream = finish(begin(Front, streamRequest()));
  EXPECT_EQ(stream->Status, 200);
  EXPECT_EQ(stream->Body, wholeStream(5));
  const auto post = finish(begin(Front, request("POST", "/post/a")));
  EXPECT_EQ(post->Body, "answer to " + lastId());
  EXPECT_EQ(desk.lastHead().Fields.find("Tenant-Name"), "one");
  EXPECT_EQ(desk.lastHead().Fields.find("Expected-Instance"), "desk-1");
  EXPECT_FALSE(desk.lastHead().Fields.find("Authorization"));
}

TEST_F(GatewayTest, withoutAConfigurationItIsNotReadyAndRefuses) {
  startGateway();
  while (get(Ready, "/v1/readiness")->Status != 503) {
  }
  EXPECT_EQ(finish(begin(Front, request("GET", "/get/a")))->Status, 503);
  EXPECT_EQ(Gateway->log().find("process-ready"), std::string::npos);
  addDesk("desk-1");
  configure();
  awaitReady();
  EXPECT_EQ(finish(begin(Front, request("GET", "/get/a")))->Status, 200);
  runUntil([&] {
    return Gateway->log().find("process-ready") != std::string::npos;
  });
}

TEST_F(GatewayTest, keysAndRoutesAreThoseOfTheNewestConfiguration) {
  addDesk("desk-1");
  configure();
  startAndAwaitReady();
  EXPECT_EQ(finish(begin(Front, request("GET", "/none/a")))->Status, 404);
  Key = "key-2";
  EXPECT_EQ(finish(begin(Front, request("GET", "/get/a")))->Status, 401);
  Configuration["version"] = 5;
  Configuration["tenants"][0]["apiKeys"] = {"key-2"};
  configure();
  int status = 0;
  while (status != 200)
    status = finish(begin(Front, request("GET", "/get/a")))->Status;
  Key = "key-1";
  EXPECT_EQ(finish(begin(Front, request("GET", "/get/a")))->Status, 401);
}

TEST_F(GatewayTest, entriesThatCannotBeReadAreNamedAndTheOthersHold) {
  addDesk("desk-1");
  Store.store().put("servers/before", "not json");
  configure();
  startAndAwaitReady();
  Store.store().put("servers/after", "{\"service\": 7}");
  for (const char *key : {"key=servers/before", "key=servers/after"})
    runUntil([&] { return Gateway->log().find(key) != std::string::npos; });
  EXPECT_EQ(finish(begin(Front, request("GET", "/get/a")))->Status, 200);
}

TEST_F(GatewayTest, metricsCountRequestsByOutcome) {
  addDesk("desk-1");
  configure();
  startAndAwaitReady();
  finish(begin(Front, request("GET", "/get/a")));
  finish(begin(Front, request("GET", "/none/a")));
  const std::string text = get(Metrics, "/metrics")->Body;
  for (const char *part :
       {"cowslipridge_requests_total{", "outcome=\"served\"",
        "outcome=\"refused\"", "cowslipridge_store_calls_total{",
        "cowslipridge_request_seconds_bucket{",
        "cowslipridge_configuration_generation{",
        "cowslipridge_attempts_total{", "outcome=\"first\"",
        "cowslipridge_retry_budget_left{", "cowslipridge_queued{",
        "cowslipridge_store_call_seconds_bucket{",
        "cowslipridge_members_usable{"})
    EXPECT_NE(text.find(part), std::string::npos) << part;
}

TEST_F(GatewayTest, anEjectionIsLoggedWithItsReason) {
  addDesk("desk-1").traits().FailsAll = true;
  configure();
  startAndAwaitReady();
  const std::string line = "runner=desk-1 outcome=failed";
  while (Gateway->log().find(line) == std::string::npos)
    finish(begin(Front, request("POST", "/post/a")));
  EXPECT_NE(Gateway->log().find("runner-ejected"), std::string::npos);
}

TEST_F(GatewayTest, aBrokenStreamGoesOnAtAnotherRunner) {
  for (const char *id : {"llm-1", "llm-2", "llm-3"})
    addModelRunner(id).traits().BreaksAfter = 2;
  configure();
  startAndAwaitReady();
  const auto stream = finish(begin(Front, streamRequest()));
  EXPECT_EQ(stream->Body, wholeStream(5));
  EXPECT_TRUE(stream->Ended);
  EXPECT_EQ(runsOfLast(), 3);
}

TEST_F(GatewayTest, aDoubtfulAnswerComesFromTheLargerModel) {
  for (const char *id : {"llm-1", "llm-2"})
    addModelRunner(id).traits().Confidence = 1;
  configure();
  startAndAwaitReady();
  EXPECT_EQ(finish(begin(Front, streamRequest()))->Body, wholeStream(5));
  EXPECT_EQ(runsOfLast(), 2);
}

TEST_F(GatewayTest, anUnsafeRequestThatMayHaveRunIsNotRepeated) {
  addDesk("desk-1").traits().FailsAll = true;
  addDesk("desk-2").traits().FailsAll = true;
  configure();
  startAndAwaitReady();
  const auto post = finish(begin(Front, request("POST", "/post/a")));
  EXPECT_EQ(post->Status, 500);
  EXPECT_EQ(runsOfLast(), 1);
  const auto read = finish(begin(Front, request("GET", "/get/a")));
  EXPECT_EQ(read->Status, 500);
  EXPECT_EQ(runsOfLast(), 2);
}

TEST_F(GatewayTest, aSecondCopyOfAnAnswerReachesNobody) {
  addDesk("desk-1").traits().AnswersTwice = true;
  configure();
  startAndAwaitReady();
  for (int n = 0; n < 20; ++n) {
    const auto post = finish(begin(Front, request("POST", "/post/a")));
    // An answer that was cut is allowed to fail, never to be another's.
    if (post->Status == 200) {
      EXPECT_TRUE(post->Body.starts_with("answer to " + lastId()));
    }
  }
}

TEST_F(GatewayTest, theRunEndsWhenTheCallerLeaves) {
  StreamingRunner &runner = addModelRunner("llm-1");
  runner.traits().Events = 1'000;
  configure();
  startAndAwaitReady();
  const auto stream = begin(Front, streamRequest());
  runUntil([&] { return !stream->Body.empty(); });
  Handle->cancel();
  runUntil([&] { return runner.active() == 0; });
}

TEST_F(GatewayTest, aDrainingRunnerGetsNoMoreRequests) {
  PlainRunner &leaving = addDesk("desk-1");
  addDesk("desk-2");
  configure();
  startAndAwaitReady();
  Store.store().put("servers/desk-1", leaving.entry("draining"));
  bool avoided = false;
  for (int n = 0; n < 500 && !avoided; ++n) {
    const std::size_t before = leaving.runs().size();
    for (int k = 0; k < 8; ++k)
      finish(begin(Front, request("GET", "/get/a")));
    avoided = leaving.runs().size() == before;
  }
  EXPECT_TRUE(avoided);
}

TEST_F(GatewayTest, servesOnWhileTheStoreIsAwayAndItsEntriesLapse) {
  addDesk("desk-1");
  configure();
  startAndAwaitReady();
  Store.setFaults(
      {.Busy = true, .Silent = false, .LoseWrites = false, .Delay = {}});
  runUntil([&] {
    return Gateway->log().find("store-unavailable") != std::string::npos;
  });
  Store.store().remove("servers/desk-1");
  Store.setFaults({});
  runUntil([&] {
    return Gateway->log().find("store-available") != std::string::npos;
  });
  EXPECT_EQ(finish(begin(Front, request("GET", "/get/a")))->Status, 200);
  Store.store().put("servers/desk-1", Runners[0]->entry("available"));
  EXPECT_EQ(finish(begin(Front, request("GET", "/get/a")))->Status, 200);
}

TEST_F(GatewayTest, missedHistoryIsMadeGoodByAListing) {
  addDesk("desk-1");
  configure();
  startAndAwaitReady();
  Store.setFaults(
      {.Busy = true, .Silent = false, .LoseWrites = false, .Delay = {}});
  runUntil([&] {
    return Gateway->log().find("store-unavailable") != std::string::npos;
  });
  Configuration["version"] = 9;
  Configuration["tenants"][0]["apiKeys"] = {"key-9"};
  configure();
  Store.store().dropHistory();
  Store.setFaults({});
  Key = "key-9";
  int status = 0;
  while (status != 200)
    status = finish(begin(Front, request("GET", "/get/a")))->Status;
}

TEST_F(GatewayTest, aRolloutIsCompletedAlthoughAnswersOfTheStoreAreLost) {
  addModelRunner("llm-1");
  configure();
  startAndAwaitReady();
  StreamingRunner &target = addModelRunner("llm-2");
  target.traits().Version = "v2";
  Store.store().put("servers/llm-2", target.entry("available"));
  Store.setFaults(
      {.Busy = false, .Silent = false, .LoseWrites = true, .Delay = {}});
  Store.store().put(
      "op/rollout/llm",
      json{{"service", "llm"}, {"target", "v2"}, {"durationS", 5}}.dump());
  const auto verdict = [&] {
    const auto item = Store.store().get("status/rollout/llm");
    return item ? json::parse(item->Value).at("state").get<std::string>() : "";
  };
  runUntil([&] { return verdict() == "in_progress"; });
  Store.setFaults({});
  runUntil([&] { return verdict() == "completed"; });
  finish(begin(Front, streamRequest()));
  EXPECT_EQ(target.runs().count(lastId()), 1U);
}

// Pattern: a gateway is killed in an outage of the store.
TEST_F(GatewayTest, oneThatStartsWhileTheStoreIsAwayLearnsFromAPeer) {
  addDesk("desk-1");
  configure();
  startAndAwaitReady();
  const Addresses at = freeAddresses();
  std::optional<Process> other;
  start(other, "gateway-2", at);
  awaitReady(at.Ready);
  runUntil([&] {
    return Gateway->log().find("peer=gateway-2") != std::string::npos;
  });
  StoreFaults faults;
  faults.Silent = true;
  Store.setFaults(faults);
  other->kill();
  start(other, "gateway-2", at);
  awaitReady(at.Ready);
  EXPECT_NE(other->log().find("peer-snapshot-taken"), std::string::npos);
  EXPECT_EQ(finish(begin(at.Front, request("GET", "/get/a")))->Status, 200);
  // Once the store is back, it tells what has changed since.
  Configuration["routes"].erase(2);
  Configuration["version"] = 2;
  configure();
  Store.setFaults({});
  int status = 0;
  while (status != 404)
    status = finish(begin(at.Front, request("GET", "/get/a")))->Status;
}

TEST_F(GatewayTest, aTermSignalFinishesStreamsAndEndsTheProcess) {
  StreamingRunner &runner = addModelRunner("llm-1");
  runner.traits().Events = 60;
  configure();
  startAndAwaitReady();
  const auto stream = begin(Front, streamRequest());
  runUntil([&] { return !stream->Body.empty(); });
  Gateway->terminate();
  while (get(Ready, "/v1/readiness")->Status != 503) {
  }
  finish(stream);
  EXPECT_EQ(stream->Body, wholeStream(60));
  runUntil([&] { return !Gateway->running(); });
  EXPECT_EQ(Gateway->waitForExit(std::chrono::milliseconds(1)), 0);
}

} // namespace
