#include "integration/platform/CrowdKinds.hpp"
#include "integration/platform/GatewayFixture.hpp"

#include "support/DescriptorLimit.hpp"
#include "support/ProcessMemory.hpp"

#include <array>

using namespace cowslipridge;
using namespace cowslipridge::integration;
using support::openDescriptors;
using support::peakMemoryKib;

namespace {

constexpr std::size_t KiB = 1024;
constexpr rlim_t Descriptors = 256; ///< that the gateway may open
/// The rest is for connections to the store and to runners.
constexpr std::ptrdiff_t MaxOpenDescriptors = 240;
constexpr std::size_t Clients = 200;
/// For which a crowd sends before the ordinary request.
constexpr core::Millis Length{1'000};

CrowdTarget targetAt(const std::string &path) { return {path, Host, "key-1"}; }
const CrowdTarget Route = targetAt("/post/crowd");
const CrowdTarget NoRoute = targetAt("/nowhere/crowd");
const CrowdTarget ReadinessPage = targetAt("/v1/readiness");

/// A gateway with little memory and few descriptors.
class GatewayCrowdTest : public GatewayTest {
protected:
  void SetUp() override {
    Memory = std::to_string(MemoryKib) + "KiB";
    Configuration["limits"] = {{"maxHeaderBytes", CrowdMaxHeaderBytes},
                               {"maxBodyBytes", MaxBodyBytes},
                               {"headerTimeoutMs", 3'000},
                               {"idleTimeoutMs", 60'000}};
    addPlainRunner("desk-1").traits().Slots = 1'000;
    configure();
    {
      const support::DescriptorLimit limit(Descriptors);
      start(Gateway, "gateway-1", {Callers, Readiness, Metrics, PeerAddress});
    }
    awaitReady();
  }

  void expectServesWithinItsLimits() {
    Loop.restart();
    Loop.run_for(core::toChrono(Length));
    EXPECT_EQ(sendOrdinaryRequest()->Status, 200);
    EXPECT_TRUE(Gateway->running());
    EXPECT_LT(peakMemoryKib(Gateway->pid()), MemoryKib);
    EXPECT_LT(openDescriptors(Gateway->pid()), MaxOpenDescriptors);
  }

  std::shared_ptr<CallRecorder> sendOrdinaryRequest() {
    const std::string body(64 * KiB, 'x');
    return awaitResponse(sendRequest(
        Callers,
        request("POST", "/post/ordinary", lengthField(body.size())) + body));
  }

  const http1::Endpoint PeerAddress = ownAddress();
  long MemoryKib = 64L * 1024; ///< of the gateway
  std::size_t MaxBodyBytes = CrowdMaxBodyBytes;
};

/// Crowds that send bodies of a size that only a few of fit.
class GatewayBodyCrowdTest : public GatewayCrowdTest {
protected:
  GatewayBodyCrowdTest() {
    MemoryKib = 110L * 1024;
    MaxBodyBytes = LargeBodyBytes;
  }
  static constexpr std::size_t LargeBodyBytes = 4UL * 1024 * KiB;
};

class GatewayCrowdKindTest : public GatewayCrowdTest,
                             public testing::WithParamInterface<CrowdKind> {};

// Guards against a gateway that ends for lack of memory, or serves nobody, as
// clients press it that don't keep to the limits.
TEST_P(GatewayCrowdKindTest, gatewayLivesAndServesAnOrdinaryCaller) {
  Crowd crowd(Loop);
  for (std::size_t n = 0; n < GetParam().Clients; n += 3) {
    crowd.add(Callers, GetParam().Script(Route));
    crowd.add(Callers, GetParam().Script(NoRoute));
    crowd.add(Readiness, GetParam().Script(ReadinessPage));
  }
  expectServesWithinItsLimits();
}

INSTANTIATE_TEST_SUITE_P(Kinds, GatewayCrowdKindTest,
                         testing::ValuesIn(crowdKinds().begin(),
                                           crowdKinds().end()),
                         [](const auto &it) { return it.param.Name; });

// Guards against the memory of bodies that stays with the process after their
// requests have ended.
TEST_F(GatewayBodyCrowdTest, wholeBodiesStayWithinTheMemory) {
  Crowd crowd(Loop);
  for (std::size_t n = 0; n < Clients; n += 2) {
    crowd.add(Callers, {cutRequest(Route, LargeBodyBytes) + "x"});
    crowd.add(Callers, {cutRequest(NoRoute, LargeBodyBytes) + "x"});
  }
  expectServesWithinItsLimits();
}

// Guards against a process that bounds only what callers send.
TEST_F(GatewayCrowdTest, listenersForOthersStayWithinTheMemory) {
  Crowd crowd(Loop);
  for (std::size_t n = 0; n < Clients; n += 2) {
    crowd.add(Metrics, {chunksWithoutEnd(NoRoute, 8 * CrowdMaxBodyBytes)});
    crowd.add(PeerAddress, {chunksWithoutEnd(NoRoute, 8 * CrowdMaxBodyBytes)});
  }
  expectServesWithinItsLimits();
}

} // namespace
