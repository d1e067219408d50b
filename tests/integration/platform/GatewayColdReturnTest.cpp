#include "integration/platform/GatewayFixture.hpp"

#include <algorithm>
#include <array>

using namespace cowslipridge;
using namespace cowslipridge::integration;

namespace {

using core::Millis;

constexpr std::size_t GatewayCount = 3;
constexpr std::size_t WarmRunners = 2;
constexpr std::size_t ReturningRunners = 3;
constexpr Millis RequestInterval{6};
constexpr Millis ColdTime{3'000};
/// Time in which a runner has its whole load back, after its cold phase.
constexpr Millis ReturnBound{2'000};
constexpr double ColdPerSecond = 6.3;

/// Gateways in front of runners in two failure domains, the second of which
/// goes down and comes back cold under load.
class GatewayColdReturnTest : public GatewayTest {
protected:
  void declare(bool hasColdPhase) {
    json &service = Configuration["services"][1];
    if (hasColdPhase) {
      service["coldStartS"] = static_cast<double>(ColdTime.count()) / 1'000;
      service["coldPerS"] = ColdPerSecond;
    }
    Configuration["routes"][2]["maxAttempts"] = 3;
    configure();
  }

  void startAll() {
    for (std::size_t n = 0; n < WarmRunners; ++n)
      startRunner(n, "zone-1", {});
    for (std::size_t n = 0; n < ReturningRunners; ++n)
      startRunner(WarmRunners + n, "zone-2", {});
    for (std::size_t n = 0; n < GatewayCount; ++n) {
      At.at(n) = freeAddresses();
      startGateway(n);
    }
    for (std::size_t n = 0; n < GatewayCount; ++n) {
      runUntil([&] {
        return get(At.at(n).Readiness, "/v1/readiness")->Status == 200;
      });
      runUntil(
          [&] { return countOf(n, "peer-registered") >= GatewayCount - 1; });
    }
  }
  void startGateway(std::size_t number) {
    start(Gateways.at(number), "gateway-" + std::to_string(number),
          At.at(number));
  }
  std::size_t countOf(std::size_t number, const std::string &text) const {
    const std::string log = Gateways.at(number)->log();
    std::size_t count = 0;
    for (auto at = log.find(text); at != std::string::npos;
         at = log.find(text, at + 1))
      ++count;
    return count;
  }

  void startRunner(std::size_t number, const std::string &domain,
                   const ColdTraits &cold) {
    RunnerTraits traits;
    traits.Id = "desk-" + std::to_string(number);
    traits.Service = "desk";
    traits.Domain = domain;
    traits.ServiceTime = Millis(20);
    traits.Cold = cold;
    http1::Endpoint &address = RunnersAt.at(number);
    if (address.port() == 0)
      address = ownAddress();
    Fleet.at(number) = std::make_unique<PlainRunner>(Loop, Clock, traits);
    Fleet.at(number)->listen(address);
    Store.store().put("servers/" + traits.Id,
                      Fleet.at(number)->entry("available"));
  }
  void stopDomain() {
    for (std::size_t n = WarmRunners; n < Fleet.size(); ++n)
      Fleet.at(n).reset();
  }
  void returnCold() {
    ColdTraits cold;
    cold.Time = ColdTime;
    cold.PerSecond = ColdPerSecond;
    for (std::size_t n = WarmRunners; n < Fleet.size(); ++n)
      startRunner(n, "zone-2", cold);
  }

  /// Sends requests at a steady rate to the gateways in turn, other than
  /// `stopped`, and returns the share of them that is served.
  double load(Millis time, std::optional<std::size_t> stopped = {}) {
    std::vector<std::shared_ptr<CallRecorder>> sent;
    const Millis end = Clock.monotonic() + time;
    Millis dueAt = Clock.monotonic();
    while (Clock.monotonic() < end) {
      for (; dueAt <= Clock.monotonic(); dueAt = dueAt + RequestInterval) {
        const std::size_t to = ++Turn % GatewayCount;
        if (to == stopped)
          continue;
        sent.push_back(
            sendRequest(At.at(to).Callers, request("GET", "/get/a")));
        Calls.push_back(LastCall);
      }
      Loop.restart();
      Loop.run_for(std::chrono::milliseconds(2));
    }
    runUntil([&] {
      return std::all_of(sent.begin(), sent.end(),
                         [](const auto &it) { return it->isFinished(); });
    });
    const auto served =
        std::count_if(sent.begin(), sent.end(),
                      [](const auto &it) { return it->Status == 200; });
    return static_cast<double>(served) / static_cast<double>(sent.size());
  }

  bool hasCrashedRunner() const {
    return std::any_of(Fleet.begin(), Fleet.end(),
                       [](const auto &it) { return it->hasStopped(); });
  }

  std::array<Addresses, GatewayCount> At;
  std::array<std::optional<Process>, GatewayCount> Gateways;
  std::array<http1::Endpoint, WarmRunners + ReturningRunners> RunnersAt;
  std::array<std::unique_ptr<PlainRunner>, WarmRunners + ReturningRunners>
      Fleet;
  std::vector<std::shared_ptr<http1::Call>> Calls;
  std::size_t Turn = 0;
};

// Guards against a domain that comes back cold, looks idle to all gateways, and
// crashes at once, while a gateway that has just started knows of nothing.
TEST_F(GatewayColdReturnTest, aDomainReturnsWhileAGatewayIsKilled) {
  declare(true);
  startAll();
  EXPECT_EQ(load(Millis(1'000)), 1.0);
  stopDomain();
  EXPECT_GT(load(Millis(1'500)), 0.9);
  Gateways[2]->kill();
  returnCold();
  startGateway(2);
  EXPECT_GT(load(Millis(1'000), 2), 0.99);
  EXPECT_GT(load(ColdTime + ReturnBound - Millis(1'000), 2), 0.99);
  EXPECT_FALSE(hasCrashedRunner());
  for (std::size_t n = WarmRunners; n < Fleet.size(); ++n)
    EXPECT_GT(Fleet.at(n)->cold().mostInWindow(), 0U) << "left idle";
  runUntil(
      [&] { return get(At[2].Readiness, "/v1/readiness")->Status == 200; });
  const std::size_t before = Fleet.back()->runs().size();
  EXPECT_EQ(load(Millis(1'000)), 1.0);
  EXPECT_GT(Fleet.back()->runs().size() - before, ColdPerSecond * 2)
      << "the whole load is back";
}

// The same load crashes the runners when gateways know of no cold phase.
TEST_F(GatewayColdReturnTest, runnersCrashWhenTheirColdPhaseIsUnknown) {
  declare(false);
  startAll();
  stopDomain();
  load(Millis(500));
  returnCold();
  load(Millis(2'000));
  EXPECT_TRUE(hasCrashedRunner());
}

} // namespace
