#include "integration/platform/GatewayFixture.hpp"

#include "integration/support/Crowd.hpp"

#include "support/DescriptorLimit.hpp"
#include "support/ProcessMemory.hpp"

using namespace cowslipridge;
using namespace cowslipridge::integration;
using support::openDescriptors;
using support::peakMemoryKib;

namespace {

constexpr std::size_t KiB = 1024;
constexpr rlim_t Descriptors = 256; ///< that the gateway may open
/// The rest is for connections to the store and to runners.
constexpr std::ptrdiff_t MaxOpenDescriptors = 240;
constexpr std::size_t MaxHeaderBytes = 64 * KiB;
constexpr std::size_t UsualMaxBodyBytes = 1024 * KiB;
constexpr std::size_t Clients = 200;
constexpr std::size_t ConnectingClients = 400;
/// For which a crowd sends before the ordinary request.
constexpr core::Millis Length{1'000};

std::string repeat(std::string_view text, std::size_t bytes) {
  std::string repeated;
  while (repeated.size() + text.size() <= bytes)
    repeated += text;
  return repeated;
}

/// The places that a crowd's requests go to.
enum class Target { Route, NoRoute, Readiness };

std::string pathOf(Target target) {
  switch (target) {
  case Target::Route:
    return "/post/crowd";
  case Target::NoRoute:
    return "/nowhere/crowd";
  case Target::Readiness:
    break;
  }
  return "/v1/readiness";
}

std::string headOf(Target target, const std::string &fields) {
  return "POST " + pathOf(target) + " HTTP/1.1\r\nHost: " + Host +
         "\r\nAttempt-Id: crowd\r\nAuthorization: Token key-1\r\n"
         "Deadline-Remaining: 3500\r\n" +
         fields + "\r\n";
}

std::string lengthField(std::size_t bytes) {
  return "Content-Length: " + std::to_string(bytes) + "\r\n";
}

/// Returns a request whose body lacks its last byte.
std::string cutRequest(Target target, std::size_t bytes) {
  return headOf(target, lengthField(bytes)) + std::string(bytes - 1, 'x');
}

std::string chunksWithoutEnd(Target target, std::size_t bytes) {
  const std::string chunk = "400\r\n" + std::string(KiB, 'x') + "\r\n";
  return headOf(target, "Transfer-Encoding: chunked\r\n") +
         repeat(chunk, bytes);
}

/// A kind of clients that do not keep to the limits.
struct CrowdKind {
  const char *Name;
  std::size_t Clients;
  ClientScript (*Script)(Target target);
};

const CrowdKind Kinds[] = {
    {"bodiesInOnePiece", Clients,
     [](Target it) -> ClientScript {
       return {cutRequest(it, UsualMaxBodyBytes), UsualMaxBodyBytes + KiB, {}};
     }},
    {"bodiesInSmallPieces", Clients,
     [](Target it) -> ClientScript {
       return {cutRequest(it, 256 * KiB), KiB, {}};
     }},
    {"bodiesInChunks", Clients,
     [](Target it) -> ClientScript {
       return {chunksWithoutEnd(it, UsualMaxBodyBytes / 2), KiB, {}};
     }},
    {"smallBodies", Clients,
     [](Target it) -> ClientScript {
       return {cutRequest(it, 16 * KiB), 4 * KiB, {}};
     }},
    {"bodiesOverTheLimit", Clients,
     [](Target it) -> ClientScript {
       return {cutRequest(it, 8 * UsualMaxBodyBytes)};
     }},
    {"chunksOverTheLimit", Clients,
     [](Target it) -> ClientScript {
       return {chunksWithoutEnd(it, 8 * UsualMaxBodyBytes)};
     }},
    {"shortFields", Clients,
     [](Target it) -> ClientScript {
       return {
           headOf(it, lengthField(2) + repeat("a:\r\n", MaxHeaderBytes - KiB)) +
           "x"};
     }},
    {"requestsSentAhead", Clients,
     [](Target it) -> ClientScript {
       return {repeat(headOf(it, lengthField(1)) + "x", 256 * KiB)};
     }},
    {"slowHeads", Clients,
     [](Target it) -> ClientScript {
       return {headOf(it, "Field: " + std::string(MaxHeaderBytes / 2, 'x')), 1,
               core::Millis(20)};
     }},
    {"connectionsWithoutARequest", ConnectingClients,
     [](Target) -> ClientScript { return {}; }},
    {"halfHeads", ConnectingClients,
     [](Target it) -> ClientScript {
       const std::string head = headOf(it, "");
       return {head.substr(0, head.size() / 2)};
     }},
};

class GatewayCrowdTest : public GatewayTest {
protected:
  void SetUp() override {
    Memory = std::to_string(MemoryKib) + "KiB";
    Configuration["limits"] = {{"maxHeaderBytes", MaxHeaderBytes},
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

  void addClients(Crowd &crowd, const CrowdKind &kind) {
    constexpr std::array Targets = {Target::Route, Target::NoRoute,
                                    Target::Readiness};
    for (std::size_t n = 0; n < kind.Clients; ++n) {
      const Target target = Targets.at(n % Targets.size());
      crowd.add(target == Target::Readiness ? Readiness : Callers,
                kind.Script(target));
    }
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
  std::size_t MaxBodyBytes = UsualMaxBodyBytes;
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
  addClients(crowd, GetParam());
  expectServesWithinItsLimits();
}

INSTANTIATE_TEST_SUITE_P(Kinds, GatewayCrowdKindTest, testing::ValuesIn(Kinds),
                         [](const auto &it) { return it.param.Name; });

// Guards against the memory of bodies that stays with the process after their
// requests have ended.
TEST_F(GatewayBodyCrowdTest, wholeBodiesStayWithinTheMemory) {
  Crowd crowd(Loop);
  for (std::size_t n = 0; n < Clients; ++n) {
    const Target target = n % 2 == 0 ? Target::Route : Target::NoRoute;
    crowd.add(Callers, {cutRequest(target, LargeBodyBytes) + "x"});
  }
  expectServesWithinItsLimits();
}

// Guards against a process that bounds only what callers send.
TEST_F(GatewayCrowdTest, listenersForOthersStayWithinTheMemory) {
  Crowd crowd(Loop);
  for (std::size_t n = 0; n < Clients; ++n)
    crowd.add(n % 2 == 0 ? Metrics : PeerAddress,
              {chunksWithoutEnd(Target::NoRoute, 8 * MaxBodyBytes)});
  expectServesWithinItsLimits();
}

} // namespace
