#include "cowslipridge/gateway/Dispatcher.hpp"

#include "support/ModelCatalogue.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <set>

using namespace cowslipridge;
using namespace cowslipridge::gateway;
using core::Millis;

namespace {

const core::FailureDomainId North("north");
const core::FailureDomainId South("south");
constexpr int RequestCount = 40;

/// A gateway with four runners in each of two failure domains, which lie in
/// regions of their own.
class RunnerEligibilityTest : public testing::Test {
protected:
  RunnerEligibilityTest() { start(); }

  void start(bool isConfigured = true) {
    config::GatewaySettings settings;
    settings.Instance = core::InstanceId("gateway-1");
    settings.Domain = North;
    settings.Retries = {1, 1'000, Millis(10'000)};
    settings.Regions = {{North, "kerala"}, {South, "gh-south"}};
    Gateway = std::make_unique<Dispatcher>(settings);
    if (isConfigured)
      setHomes({}, {});
    for (int n = 0; n < 8; ++n) {
      membership::BackendServer server;
      server.Id = core::RunnerId("runner-" + std::to_string(n));
      server.Service = support::ModelService;
      server.Host = "127.0.0.1";
      server.Port = 80;
      server.Version = core::VersionId("v1");
      server.Domain = n % 2 == 0 ? North : South;
      Gateway->onServerEntry(server, Now);
      Gateway->servers().put(server);
    }
  }

  void setHomes(const std::vector<std::string> &ofRoute,
                const std::vector<std::string> &ofOrganisation) {
    catalogue::Catalogue declared = support::modelCatalogue()->catalogue();
    declared.Version = core::Generation(declared.Version.value() + 1);
    declared.Routes.front().HomeRegions = ofRoute;
    declared.Services.front().Inference->CacheBytesPerToken = 1;
    declared.Services.front().Inference->TransferMbps = 400'000;
    Declared = std::make_shared<catalogue::CatalogueIndex>(declared);
    Organisation.HomeRegions = ofOrganisation;
    Gateway->setCatalogue(Declared);
  }

  PlacementResult place(AttemptKind kind = AttemptKind::First) {
    RequestContext context;
    context.Caller.Id = core::RequestId("id-" + std::to_string(++Ids));
    context.Caller.AnyModel = true;
    context.Caller.Prompt = {{Ids % 3, 20'000}, {1'000 + Ids, 500}};
    context.Caller.PromptTokens = 20'500;
    context.Catalogue = Declared;
    context.Route = &Declared->catalogue().Routes.front();
    context.Organisation = &Organisation;
    context.ArrivedAt = Now;
    context.Deadline = Now + Millis(12'000);
    return Gateway->place(context, ModelTier(Ids % 2), {}, kind, Now);
  }

  /// Returns the failure domains of the runners that get requests, and of those
  /// from which they fetch prefixes.
  std::set<core::FailureDomainId> domainsInUse() {
    std::set<core::FailureDomainId> domains;
    for (int n = 0; n < RequestCount; ++n) {
      const auto kind = n % 3 == 0   ? AttemptKind::First
                        : n % 3 == 1 ? AttemptKind::Retry
                                     : AttemptKind::Escalate;
      const auto result = place(kind);
      if (const auto *it = std::get_if<Placement>(&result))
        domains.insert(Gateway->servers().find(it->Runner)->Domain);
    }
    return domains;
  }

  catalogue::Organisation Organisation;
  catalogue::CataloguePtr Declared;
  std::unique_ptr<Dispatcher> Gateway;
  std::uint64_t Ids = 0;
  Millis Now{100'000};
};

using Domains = std::set<core::FailureDomainId>;

// Guards against attempts of any kind at runners of an evacuated domain.
TEST_F(RunnerEligibilityTest, runnersOfAnEvacuatedDomainGetNothing) {
  EXPECT_EQ(domainsInUse(), (Domains{North, South}));
  Gateway->evacuations().onCommand(South);
  EXPECT_EQ(domainsInUse(), Domains{North});
  Gateway->evacuations().onWithdrawn(South, Now);
  EXPECT_EQ(Gateway->updateEvacuations(Now).size(), 0U);
  EXPECT_EQ(domainsInUse(), (Domains{North, South}));
}

TEST_F(RunnerEligibilityTest, callersAreRejectedAtOnceWhenAllIsEvacuated) {
  Gateway->evacuations().onCommand(North);
  Gateway->evacuations().onCommand(South);
  const auto result = place();
  const auto *none = std::get_if<NoPlacement>(&result);
  ASSERT_NE(none, nullptr);
  EXPECT_GE(none->RetryAfter, Millis(1'000));
}

// Guards against a domain whose runners turned cold while it was evacuated, and
// that gets its whole load at once.
TEST_F(RunnerEligibilityTest, aDomainThatReturnsIsCold) {
  catalogue::Catalogue declared = Declared->catalogue();
  declared.Services.front().ColdStart = Millis(3'000);
  declared.Services.front().ColdPerSecond = 6;
  Declared = std::make_shared<catalogue::CatalogueIndex>(declared);
  Gateway->setCatalogue(Declared);
  Gateway->evacuations().onCommand(South);
  Gateway->updateEvacuations(Now);
  EXPECT_EQ(Gateway->coldRunners(), 0U);
  Gateway->evacuations().onWithdrawn(South, Now);
  EXPECT_EQ(Gateway->updateEvacuations(Now),
            std::vector<core::FailureDomainId>{South});
  EXPECT_EQ(Gateway->coldRunners(), 4U);
}

// Guards against rejected callers after the loss of all gateways: each assumes
// that all runners are cold.
TEST_F(RunnerEligibilityTest, aLimitThatIsOnlyAssumedRejectsNoCaller) {
  catalogue::Catalogue declared = Declared->catalogue();
  declared.Services.front().ColdStart = Millis(3'000);
  declared.Services.front().ColdPerSecond = 1;
  Declared = std::make_shared<catalogue::CatalogueIndex>(declared);
  Gateway->setCatalogue(Declared);
  Gateway->onStartedBesidePeers(Now);
  EXPECT_EQ(Gateway->coldRunners(), 8U);
  for (int n = 0; n < RequestCount; ++n)
    EXPECT_TRUE(std::holds_alternative<Placement>(place()));
}

// Guards against callers that are rejected although the version before the
// roll-out has runners, as those of the target are all evacuated.
TEST_F(RunnerEligibilityTest,
       anEvacuatedTargetOfARolloutLeavesTheStableVersion) {
  for (int n = 1; n < 8; n += 2) {
    membership::BackendServer server =
        *Gateway->servers().find(core::RunnerId("runner-" + std::to_string(n)));
    server.Version = core::VersionId("v2");
    Gateway->servers().put(server);
  }
  Gateway->trials().onCommand(
      {support::ModelService, core::VersionId("v2"), Millis(20'000)}, Now);
  Gateway->trials().onStatus({support::ModelService, core::VersionId("v2"),
                              rollout::RolloutPhase::Completed},
                             Now);
  EXPECT_EQ(domainsInUse(), Domains{South});
  Gateway->evacuations().onCommand(South);
  EXPECT_EQ(domainsInUse(), Domains{North});
}

// Guards against a gateway that starts before the configuration is written, and
// then takes all runners for warm.
TEST_F(RunnerEligibilityTest, theConfigurationMayComeAfterTheFirstListing) {
  catalogue::Catalogue declared = Declared->catalogue();
  declared.Services.front().ColdStart = Millis(3'000);
  declared.Services.front().ColdPerSecond = 6;
  const auto cold = std::make_shared<catalogue::CatalogueIndex>(declared);
  start(false);
  Gateway->onStartedBesidePeers(Now);
  EXPECT_FALSE(Gateway->report(Now).Cold.Settled);
  Gateway->setCatalogue(cold);
  Gateway->tick(Now + Millis(500));
  EXPECT_EQ(Gateway->coldRunners(), 8U);
  EXPECT_FALSE(Gateway->report(Now + Millis(2'999)).Cold.Settled);
  Gateway->tick(Now + Millis(3'000));
  EXPECT_EQ(Gateway->coldRunners(), 0U);
}

TEST_F(RunnerEligibilityTest, homesOfRouteAndOrganisationBothApply) {
  setHomes({"kerala"}, {});
  EXPECT_EQ(domainsInUse(), Domains{North});
  setHomes({}, {"gh-south"});
  EXPECT_EQ(domainsInUse(), Domains{South});
  setHomes({"kerala", "gh-south"}, {"gh-south", "elsewhere"});
  EXPECT_EQ(domainsInUse(), Domains{South});
  setHomes({"kerala"}, {"gh-south"});
  EXPECT_EQ(domainsInUse(), Domains{});
}

} // namespace
