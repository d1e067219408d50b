#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/sidecar/Sidecar.hpp"
#include "support/Waiting.hpp"
#include "unit/ledger/MemoryStore.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <mutex>
#include <thread>

using namespace cowslipridge;
using namespace cowslipridge::sidecar;
using core::Errc;
using core::Outcome;
using support::eventually;

namespace {

const core::ServiceId Desk("desk");
const core::OrganisationId Stewards("stewards");
const core::VersionId Version("desk@1");

/// A runner whose answers the test gives. It ignores cancellation.
class HeldRunner final : public runner::Runner {
public:
  std::shared_ptr<runner::RunningCall>
  start(const runner::Call & /*call*/, runner::CallEvents events) override {
    const std::lock_guard lock(Guard);
    Events = std::move(events);
    ++Starts;
    return std::make_shared<Held>();
  }
  void load(const core::VersionId &, core::FencingNumber,
            std::function<void(std::error_code)> done) override {
    done({});
  }

  runner::CallEvents events() {
    const std::lock_guard lock(Guard);
    return Events;
  }
  std::atomic<int> Starts = 0;

private:
  struct Held final : runner::RunningCall {
    void cancel() override {}
  };
  std::mutex Guard;
  runner::CallEvents Events;
};

/// What one caller received.
class RecordingSink final : public rpc::AnswerSink {
public:
  void head(int, http::Headers) override {}
  bool frame(std::string data) override {
    const std::lock_guard lock(Guard);
    Text += data;
    return true;
  }
  void end(rpc::RunResult result) override { Ended.set(std::move(result)); }

  std::string text() {
    const std::lock_guard lock(Guard);
    return Text;
  }
  support::EventualValue<rpc::RunResult> Ended;

private:
  std::mutex Guard;
  std::string Text;
};

class ClaimedRunTest : public testing::Test {
protected:
  ClaimedRunTest() {
    SidecarSettings settings;
    settings.Instance = core::InstanceId("a");
    settings.Start = core::Incarnation(1);
    settings.Service = Desk;
    settings.Versions = {Version};
    Subject = std::make_shared<Sidecar>(
        Loop, Clock, Events, std::move(settings), port(),
        [this](const config::ServiceDeclaration &it) { return journal(it); },
        [this](config::ServiceKind) { return Runner; });
    Loop.call([this] { Subject->configure(makeBundle()); });
  }
  ~ClaimedRunTest() override {
    Loop.call([this] { Subject.reset(); });
  }

  static rpc::ConfigurationPort port() {
    return {[] { return rpc::ConfigurationState{}; },
            [] { return rpc::BundleContent{}; },
            [](const rpc::PeerStatus &, core::Millis) {},
            [](const core::InstanceId &, const rpc::BundleContent &) {}};
  }

  std::shared_ptr<ledger::Ledger>
  journal(const config::ServiceDeclaration &service) {
    ledger::LedgerSettings settings;
    settings.Instance = core::InstanceId("a");
    settings.Start = core::Incarnation(1);
    settings.Service = service.Name;
    settings.Shards = 1;
    settings.MaxCommitInterval = core::Millis(5);
    auto ledger =
        std::make_shared<ledger::Ledger>(settings, Store, Clock, Events);
    ledger->start([](std::error_code) {});
    return ledger;
  }

  static std::shared_ptr<const config::Bundle> makeBundle() {
    config::ServiceDeclaration service;
    service.Name = Desk;
    service.Kind = config::ServiceKind::Plain;
    service.Versions.emplace_back();
    service.Versions.back().Name = Version;
    service.Organisations.emplace_back();
    service.Organisations.back().Name = Stewards;
    service.Organisations.back().Allowed = {Version};
    config::Bundle bundle;
    bundle.Number = core::Generation(1);
    bundle.Services[Desk] = service;
    return std::make_shared<config::Bundle>(std::move(bundle));
  }

  static rpc::RunRequest makeRequest(const std::string &key) {
    rpc::RunRequest request;
    request.Request = core::RequestId(key);
    request.Organisation = Stewards;
    request.Service = Desk;
    request.Version = Version;
    request.IdempotencyKey = key;
    request.Method = "POST";
    request.Target = "/bookings";
    request.Remaining = core::Millis(10'000);
    request.Idempotent = false;
    return request;
  }

  std::shared_ptr<RecordingSink> run(const rpc::RunRequest &request) {
    auto sink = std::make_shared<RecordingSink>();
    Loop.call([&] { Call = Subject->run(request, sink); });
    return sink;
  }

  /// Runs a request until the sidecar has adopted its shards and the runner has
  /// it.
  std::shared_ptr<RecordingSink> runUntilStarted(const std::string &key) {
    std::shared_ptr<RecordingSink> sink;
    const bool started = eventually([&] {
      const int before = Runner->Starts;
      sink = run(makeRequest(key));
      return eventually([&] {
               return Runner->Starts > before ||
                      sink->Ended.get(std::chrono::milliseconds(0));
             }) &&
             Runner->Starts > before;
    });
    EXPECT_TRUE(started);
    return sink;
  }

  core::SystemClock Clock;
  observe::EventLog Events{Clock, core::InstanceId("a"), core::Incarnation(1),
                           1'000};
  std::shared_ptr<ledger::MemoryStore> Store =
      std::make_shared<ledger::MemoryStore>();
  std::shared_ptr<HeldRunner> Runner = std::make_shared<HeldRunner>();
  rpc::EventLoop Loop;
  std::shared_ptr<Sidecar> Subject;
  std::shared_ptr<rpc::IncomingCall> Call;
};

// Guards against a retry that gets the first half of an answer as a complete
// one: the entry had gone when the runner broke off, and the sidecar recorded
// the call as run.
TEST_F(ClaimedRunTest, brokenAnswerOfAnAbandonedCallIsNotReplayedAsComplete) {
  const auto first = runUntilStarted("k");
  const runner::CallEvents events = Runner->events();
  events.OnHead(200, {});
  events.OnData("half");
  EXPECT_TRUE(eventually([&] { return first->text() == "half"; }));
  Loop.call([this] { Call->abandon(); });
  events.OnEnd(Errc::RunnerFailed, Outcome::Unknown, {});
  ASSERT_TRUE(first->Ended.get());
  const auto retry = run(makeRequest("k"));
  const auto result = retry->Ended.get();
  ASSERT_TRUE(result);
  EXPECT_EQ(Runner->Starts, 1);
  EXPECT_TRUE(result->Error);
  EXPECT_EQ(result->Result, Outcome::Unknown);
  EXPECT_EQ(retry->text(), "");
}

// Guards against a run that starts although its deadline passed while the
// sidecar stood still, after the claim was committed.
TEST_F(ClaimedRunTest, claimThatIsCommittedDuringAStallDoesNotRunTooLate) {
  runUntilStarted("first");
  Runner->events().OnEnd({}, Outcome::Ran, {});
  rpc::RunRequest request = makeRequest("late");
  request.Remaining = core::Millis(50);
  auto sink = std::make_shared<RecordingSink>();
  Loop.call([&] {
    Call = Subject->run(request, sink);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  });
  const auto result = sink->Ended.get();
  ASSERT_TRUE(result);
  EXPECT_EQ(result->Result, Outcome::NotRun);
  EXPECT_EQ(Runner->Starts, 1);
  runUntilStarted("late");
  EXPECT_EQ(Runner->Starts, 2);
}

} // namespace
