#include "cowslipridge/gateway/Dispatcher.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>

using namespace cowslipridge;
using namespace cowslipridge::gateway;
using core::Millis;

namespace {

const core::ServiceId Service("llm");

catalogue::CataloguePtr catalogueOf() {
  catalogue::Catalogue declared;
  catalogue::Route route;
  route.Name = "chat";
  route.Kind = catalogue::RouteKind::ResumableStream;
  route.Timeout = Millis(12'000);
  route.TargetLatency = Millis(4'000);
  route.MaxAttempts = 3;
  route.Models = {"small", "large"};
  route.Services = {{Service, 1}};
  declared.Routes = {route};
  catalogue::Service service;
  service.Name = Service;
  service.Inference =
      catalogue::Engine{64, 500'000, 6, {{"small", 0.01}, {"large", 0.1}}};
  declared.Services = {service};
  return std::make_shared<const catalogue::CatalogueIndex>(declared);
}

class DispatcherTest : public testing::Test {
protected:
  DispatcherTest() : Decisions(settings()) {
    Decisions.setCatalogue(Declared);
    for (int n = 0; n < 12; ++n)
      add(Decisions, "runner-" + std::to_string(n));
  }

  static config::GatewaySettings settings() {
    config::GatewaySettings settings;
    settings.Instance = core::InstanceId("gateway-1");
    settings.Retries = {1, 1'000, Millis(10'000)};
    return settings;
  }
  static void add(Dispatcher &decisions, const std::string &id,
                  const std::string &version = "v1") {
    membership::BackendServer server;
    server.Id = core::RunnerId(id);
    server.Service = Service;
    server.Host = "127.0.0.1";
    server.Port = 80;
    server.Version = core::VersionId(version);
    decisions.servers().put(server);
  }
  RequestFacts request(std::uint64_t part, std::uint64_t tokens,
                       const std::string &session = "") {
    RequestFacts facts;
    facts.Caller.Id = core::RequestId("id-" + std::to_string(++Ids));
    facts.Caller.AnyModel = true;
    facts.Caller.Prompt = {{part, tokens}, {1'000'000 + Ids, 500}};
    facts.Caller.PromptTokens = tokens + 500;
    facts.Caller.Session = core::SessionId(session);
    facts.Catalogue = Declared;
    facts.Route = &Declared->catalogue().Routes.front();
    facts.ArrivedAt = Now;
    facts.Deadline = Now + Millis(12'000);
    return facts;
  }
  std::optional<Placement>
  place(Dispatcher &decisions, const RequestFacts &facts, ModelTier tier = 0) {
    const auto result = decisions.place(facts, tier, {}, SendKind::First, Now);
    const auto *it = std::get_if<Placement>(&result);
    return it == nullptr ? std::nullopt : std::optional(*it);
  }
  void serve(Dispatcher &decisions, const Placement &placement) {
    decisions.onFirstByte(placement.Ticket, Now);
    decisions.onEnded(placement.Ticket, SendOutcome::Served, Now);
  }

  catalogue::CataloguePtr Declared = catalogueOf();
  Dispatcher Decisions;
  std::uint64_t Ids = 0;
  Millis Now{1'000};
};

// Pattern: several gateways serve requests about the same subjects.
TEST_F(DispatcherTest, gatewaysAgreeWhereASharedPartBelongs) {
  Dispatcher other(settings());
  other.setCatalogue(Declared);
  for (int n = 0; n < 12; ++n)
    add(other, "runner-" + std::to_string(n));
  for (std::uint64_t part = 1; part <= 50; ++part) {
    const auto here = place(Decisions, request(part, 8'000));
    const auto there = place(other, request(part, 8'000));
    ASSERT_TRUE(here && there);
    EXPECT_EQ(here->Runner, there->Runner);
    serve(Decisions, *here);
    serve(other, *there);
  }
}

// Pattern: one subject gets much of the traffic.
TEST_F(DispatcherTest, aHotPromptIsSpreadOnceItsRunnerHasWork) {
  std::set<core::RunnerId> used;
  // Several times the work that reading the part anew would be.
  for (int n = 0; n < 400; ++n) {
    const auto placement = place(Decisions, request(7, 20'000), 1);
    ASSERT_TRUE(placement);
    used.insert(placement->Runner);
  }
  EXPECT_GT(used.size(), 3U);
}

// Pattern: a burst of small requests, more than their own runners can take.
TEST_F(DispatcherTest, thePoolOfTheSmallestModelBorrowsInABurst) {
  std::map<core::RunnerId, int> counts;
  for (std::uint64_t n = 0; n < 600; ++n) {
    if (const auto placement = place(Decisions, request(n, 12'000)))
      ++counts[placement->Runner];
  }
  EXPECT_EQ(counts.size(), 12U);
}

TEST_F(DispatcherTest, theModelsAreApartWhileRunnersKeepUp) {
  std::set<core::RunnerId> small;
  std::set<core::RunnerId> large;
  for (std::uint64_t n = 0; n < 100; ++n) {
    const auto first = place(Decisions, request(n, 2'000), 0);
    const auto second = place(Decisions, request(n, 2'000), 1);
    ASSERT_TRUE(first && second);
    small.insert(first->Runner);
    large.insert(second->Runner);
    serve(Decisions, *first);
    serve(Decisions, *second);
  }
  for (const core::RunnerId &it : small)
    EXPECT_FALSE(large.contains(it)) << it.str();
}

// Pattern: all gateways see the same idle runner and rush there.
TEST_F(DispatcherTest, workOfOtherGatewaysKeepsTheHerdAway) {
  const auto before = place(Decisions, request(3, 8'000));
  ASSERT_TRUE(before);
  serve(Decisions, *before);
  PeerReport report;
  report.Gateway = core::InstanceId("gateway-2");
  report.Loads = {{before->Runner, {5'000, 20, 0}}};
  Decisions.onPeerReport(report, Now);
  EXPECT_NE(place(Decisions, request(3, 8'000))->Runner, before->Runner);
  Decisions.forgetPeer(report.Gateway);
  EXPECT_EQ(place(Decisions, request(3, 8'000))->Runner, before->Runner);
}

// Pattern: overload; what can't be served is refused at once.
TEST_F(DispatcherTest, whatNoRunnerAnswersInTimeIsRefusedWithATimeToComeBack) {
  Millis before;
  bool refused = false;
  for (std::uint64_t n = 0; n < 20'000 && !refused; ++n) {
    const auto facts = request(n, 40'000);
    const auto result = Decisions.place(facts, 1, {}, SendKind::First, Now);
    if (const auto *it = std::get_if<NoPlacement>(&result)) {
      refused = true;
      EXPECT_GT(it->RetryAfter, Millis(0));
    }
  }
  EXPECT_TRUE(refused);
}

TEST_F(DispatcherTest, ejectedRunnersServeWhenThereIsNoOther) {
  Dispatcher small(settings());
  small.setCatalogue(Declared);
  add(small, "a");
  add(small, "b");
  const auto first = place(small, request(1, 100));
  ASSERT_TRUE(first);
  small.onEnded(first->Ticket, SendOutcome::Unreachable, Now);
  EXPECT_EQ(small.ejected(Now), 1U);
  for (std::uint64_t n = 2; n < 20; ++n) {
    const auto next = place(small, request(n, 100));
    ASSERT_TRUE(next);
    EXPECT_NE(next->Runner, first->Runner);
    serve(small, *next);
  }
  const auto second = place(small, request(40, 100));
  small.onEnded(second->Ticket, SendOutcome::Unreachable, Now);
  EXPECT_TRUE(place(small, request(41, 100)));
}

TEST_F(DispatcherTest, ejectionsAreHeardOfWithWhatSettledThem) {
  std::vector<std::pair<limits::EjectionChange, SendOutcome>> heard;
  Decisions.onEjections([&](const auto &change, SendOutcome outcome) {
    heard.emplace_back(change, outcome);
  });
  const auto first = place(Decisions, request(1, 100));
  Decisions.onEnded(first->Ticket, SendOutcome::Unreachable, Now);
  ASSERT_EQ(heard.size(), 1U);
  EXPECT_EQ(heard[0].first.Runner, first->Runner);
  EXPECT_TRUE(heard[0].first.isEjected());
  EXPECT_EQ(heard[0].second, SendOutcome::Unreachable);
}

TEST_F(DispatcherTest, tellsWhatWaitsAndWhatIsLeftForRepeats) {
  const auto first = place(Decisions, request(1, 100));
  const auto second = place(Decisions, request(2, 100));
  EXPECT_EQ(Decisions.waiting().at(Service), 2U);
  Decisions.onFirstByte(first->Ticket, Now);
  EXPECT_EQ(Decisions.waiting().at(Service), 1U);
  const double before = Decisions.retriesLeft(Now).at(Service);
  const auto again =
      Decisions.place(request(3, 100), 1, {}, SendKind::Escalate, Now);
  ASSERT_TRUE(std::holds_alternative<Placement>(again));
  EXPECT_EQ(Decisions.retriesLeft(Now).at(Service), before - 1);
  serve(Decisions, *second);
}

// Pattern: a roll-out begins while sessions are under way.
TEST_F(DispatcherTest, sessionsStayOnTheirVersionThroughTheFirstHalf) {
  std::vector<std::string> sessions;
  for (int n = 0; n < 200; ++n) {
    sessions.push_back("session-" + std::to_string(n));
    serve(Decisions, *place(Decisions, request(1, 100, sessions.back())));
  }
  for (int n = 0; n < 12; ++n)
    add(Decisions, "target-" + std::to_string(n), "v2");
  Decisions.trials().onCommand({Service, core::VersionId("v2"), Millis(24'000)},
                               Now);
  Decisions.trials().onStatus(
      {Service, core::VersionId("v2"), rollout::RolloutPhase::InProgress}, Now);
  std::size_t onTarget = 0;
  for (int second = 1; second <= 10; ++second) {
    Now = Now + Millis(1'000);
    for (const std::string &it : sessions) {
      const auto placement = place(Decisions, request(1, 100, it));
      ASSERT_TRUE(placement);
      EXPECT_EQ(placement->Version.str(), "v1");
      serve(Decisions, *placement);
      const auto fresh =
          place(Decisions, request(1, 100, it + "-" + std::to_string(second)));
      onTarget += fresh->Version.str() == "v2" ? 1 : 0;
      serve(Decisions, *fresh);
    }
  }
  EXPECT_GT(onTarget, 0U);
  EXPECT_LT(onTarget, 300U) << "of 2,000 new sessions, 15 in 100";
}

// Pattern: a session moves between gateways while a roll-out begins.
TEST_F(DispatcherTest, sessionsThatPeersKnowStayOnTheirVersion) {
  Dispatcher other(settings());
  other.setCatalogue(Declared);
  for (Dispatcher *it : {&Decisions, &other}) {
    for (int n = 0; n < 12; ++n) {
      add(*it, "runner-" + std::to_string(n));
      add(*it, "target-" + std::to_string(n), "v2");
    }
    it->trials().onCommand({Service, core::VersionId("v2"), Millis(24'000)},
                           Now);
  }
  std::vector<std::string> sessions;
  for (int n = 0; n < 200; ++n) {
    sessions.push_back("session-" + std::to_string(n));
    serve(other, *place(other, request(1, 100, sessions.back())));
  }
  for (Dispatcher *it : {&Decisions, &other})
    it->trials().onStatus(
        {Service, core::VersionId("v2"), rollout::RolloutPhase::InProgress},
        Now);
  Now = Now + Millis(1'000);
  Decisions.onPeerReport(other.report(Now), Now);
  for (const std::string &it : sessions)
    EXPECT_EQ(place(Decisions, request(1, 100, it))->Version.str(), "v1");
}

TEST_F(DispatcherTest, drainingRunnersGetNothing) {
  for (int n = 1; n < 12; ++n) {
    membership::BackendServer server = *Decisions.servers().find(
        core::RunnerId("runner-" + std::to_string(n)));
    server.Draining = true;
    Decisions.servers().put(server);
  }
  for (std::uint64_t n = 0; n < 30; ++n)
    EXPECT_EQ(place(Decisions, request(n, 100))->Runner.str(), "runner-0");
}

} // namespace
