#include "cowslipridge/gateway/Dispatcher.hpp"

#include "cowslipridge/core/Random.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <set>

using namespace cowslipridge;
using namespace cowslipridge::gateway;
using core::Millis;

namespace {

constexpr std::size_t GatewayCount = 68;
constexpr std::size_t RunnerCount = 120;
constexpr std::uint64_t KindTokens = 900;
constexpr std::uint64_t SubjectTokens = 12'000;
constexpr std::uint64_t OwnTokens = 2'000;
const core::ServiceId Service("llm");

/// A fleet of gateways in front of runners that keep every prompt they read.
/// Each request reaches any gateway, which knows only what it sent itself and
/// the loads that its peers report.
class PromptAffinityTest : public testing::Test {
protected:
  PromptAffinityTest() {
    config::GatewaySettings settings;
    settings.Retries = {1, 1'000, Millis(10'000)};
    for (std::size_t n = 0; n < GatewayCount; ++n) {
      settings.Instance = core::InstanceId("gateway-" + std::to_string(n));
      Gateways.push_back(std::make_unique<Dispatcher>(settings));
      Gateways.back()->setCatalogue(Declared);
      for (std::size_t runner = 0; runner < RunnerCount; ++runner)
        addRunner(*Gateways.back(), runner);
    }
  }

  static catalogue::CataloguePtr makeCatalogue() {
    catalogue::Catalogue declared;
    catalogue::Route route;
    route.Name = "draft";
    route.Kind = catalogue::RouteKind::ResumableStream;
    route.Timeout = Millis(12'000);
    route.TargetLatency = Millis(4'000);
    route.MaxAttempts = 3;
    route.Models = {"large"};
    route.Services = {{Service, 1}};
    declared.Routes = {route};
    catalogue::Service service;
    service.Name = Service;
    service.Inference = catalogue::Engine{64, 500'000, 6, {{"large", 0.1}}};
    declared.Services = {service};
    return std::make_shared<const catalogue::CatalogueIndex>(declared);
  }

  static void addRunner(Dispatcher &gateway, std::size_t number) {
    membership::BackendServer server;
    server.Id = core::RunnerId("runner-" + std::to_string(number));
    server.Service = Service;
    server.Host = "127.0.0.1";
    server.Port = 80;
    server.Version = core::VersionId("v1");
    gateway.servers().put(server);
  }

  RequestContext makeRequest(std::uint64_t subject) {
    const std::uint64_t kind = subject % 3;
    RequestContext context;
    context.Caller.Id = core::RequestId("id-" + std::to_string(++Ids));
    context.Caller.AnyModel = true;
    context.Caller.Prompt = {{kind, KindTokens},
                             {100 + subject, SubjectTokens},
                             {1'000'000 + Ids, OwnTokens}};
    context.Caller.PromptTokens = KindTokens + SubjectTokens + OwnTokens;
    context.Catalogue = Declared;
    context.Route = &Declared->catalogue().Routes.front();
    context.ArrivedAt = Now;
    context.Deadline = Now + Millis(12'000);
    return context;
  }

  /// Sends one request through a random gateway. Ends the oldest one if more
  /// than `concurrency` are in progress.
  void send(std::uint64_t subject, std::size_t concurrency) {
    const std::size_t gateway = core::uniformIndex(Random, GatewayCount);
    const auto result = Gateways[gateway]->place(makeRequest(subject), 0, {},
                                                 AttemptKind::First, Now);
    const auto *placement = std::get_if<Placement>(&result);
    ASSERT_NE(placement, nullptr);
    if (Cached.insert({placement->Runner, subject}).second) {
      ++Runners[subject];
      SharedRead += SubjectTokens;
    }
    Total += SubjectTokens;
    InProgress.push_back({gateway, placement->Ticket});
    if (InProgress.size() > concurrency)
      endOldest();
    if (Ids % 20 == 0)
      exchangeReports();
    Now = Now + Millis(5);
  }

  void endOldest() {
    const auto [gateway, ticket] = InProgress.front();
    InProgress.pop_front();
    Gateways[gateway]->onHead(ticket, {}, Now);
    Gateways[gateway]->onEnded(ticket, AttemptOutcome::Served, Now);
  }

  void exchangeReports() {
    for (const auto &from : Gateways) {
      PeerReport report = from->report(Now);
      report.Gateway = core::InstanceId(
          "gateway-" + std::to_string(&from - Gateways.data()));
      for (const auto &to : Gateways) {
        if (to != from)
          to->onPeerReport(report, Now);
      }
    }
  }

  /// Returns the share of the shared tokens that were read although some runner
  /// had read them before.
  [[nodiscard]] double readAgain() const {
    return static_cast<double>(SharedRead - Runners.size() * SubjectTokens) /
           static_cast<double>(Total);
  }

  catalogue::CataloguePtr Declared = makeCatalogue();
  std::vector<std::unique_ptr<Dispatcher>> Gateways;
  std::set<std::pair<core::RunnerId, std::uint64_t>> Cached;
  std::map<std::uint64_t, std::size_t> Runners; ///< that read each subject
  std::deque<std::pair<std::size_t, std::uint64_t>> InProgress;
  core::Random Random{20'261'204};
  std::uint64_t Ids = 0;
  std::uint64_t SharedRead = 0;
  std::uint64_t Total = 0;
  Millis Now{1'000};
};

// Pattern: many subjects of a few kinds, each asked for now and then, through
// any of many gateways.
TEST_F(PromptAffinityTest, requestsOfASubjectMeetAtOneRunner) {
  constexpr std::uint64_t Subjects = 150;
  for (int n = 0; n < 1'500; ++n)
    send(core::uniformIndex(Random, Subjects), 30);
  EXPECT_LT(readAgain(), 0.1);
}

// Pattern: one subject gets all traffic. It needs several runners, but not all.
TEST_F(PromptAffinityTest, hotSubjectSpreadsOverFewRunners) {
  for (int n = 0; n < 600; ++n)
    send(7, 300);
  EXPECT_GT(Runners[7], 3U);
  EXPECT_LT(Runners[7], RunnerCount / 2);
}

} // namespace
