#include "PeerFleet.hpp"

#include "support/PropertyChecks.hpp"

using namespace cowslipridge;
using namespace cowslipridge::peers;
using namespace cowslipridge::peers::test;
using core::Millis;

namespace {

constexpr std::size_t Domains = 3;
constexpr std::size_t SmallReport = 40;
/// Time after the last fault within which all views are up to date.
constexpr Millis Convergence{2'000};

/// Returns the number of pairs of live gateways of which one has no report of
/// the other that is at most this old.
std::size_t staleViews(const PeerFleet &fleet, Millis maxAge) {
  std::size_t count = 0;
  for (std::size_t a = 0; a < fleet.size(); ++a) {
    for (std::size_t b = 0; b < fleet.size(); ++b) {
      if (a == b || !fleet.isRunning(a) || !fleet.isRunning(b))
        continue;
      const auto age = fleet.age(a, b);
      count += !age || *age > maxAge ? 1 : 0;
    }
  }
  return count;
}

/// Returns the number of views that live gateways keep of dead ones.
std::size_t viewsOfDead(const PeerFleet &fleet) {
  std::size_t count = 0;
  for (std::size_t a = 0; a < fleet.size(); ++a) {
    for (std::size_t b = 0; b < fleet.size(); ++b) {
      if (a != b && fleet.isRunning(a) && !fleet.isRunning(b))
        count += fleet.age(a, b) ? 1 : 0;
    }
  }
  return count;
}

std::size_t firstRelay(const PeerFleet &fleet) {
  for (std::size_t n = 0; n < fleet.size(); ++n) {
    if (fleet.isRelay(n))
      return n;
  }
  return 0;
}

void injectFault(PeerFleet &fleet) {
  const auto gateway = *rc::gen::inRange<std::size_t>(0, fleet.size());
  const bool hitsRelay = *rc::gen::arbitrary<bool>();
  const std::size_t n = hitsRelay ? firstRelay(fleet) : gateway;
  switch (*rc::gen::inRange(0, 9)) {
  case 0:
    fleet.kill(n);
    break;
  case 1:
    fleet.pause(n);
    break;
  case 2:
    fleet.resume(n);
    break;
  case 3:
    fleet.start(n);
    break;
  case 4:
    fleet.start(n, true);
    break;
  case 5:
    fleet.leave(n);
    break;
  case 6:
    fleet.Network.Partitions.insert(
        *rc::gen::element(std::pair<std::size_t, std::size_t>{0, 1},
                          std::pair<std::size_t, std::size_t>{0, 2},
                          std::pair<std::size_t, std::size_t>{1, 2}));
    break;
  case 7:
    fleet.Network.Partitions.clear();
    break;
  default:
    fleet.Network.Loss = 0.1 * *rc::gen::inRange(0, 6);
    fleet.Network.MaxDelay = Millis(*rc::gen::element(3, 50, 400));
  }
}

// Guards against a gateway that others no longer see after loss, partitions,
// killed and paused relays and restarts with either build; against a stale
// report in place of a newer one; and against state of gateways that are gone.
TEST(RelayProperties, viewsConvergeAfterFaults) {
  support::expectHolds(300, [] {
    PeerFleet fleet(*rc::gen::inRange<std::size_t>(2, 13), Domains, SmallReport,
                    *rc::gen::arbitrary<std::uint64_t>());
    fleet.run(Millis(1'000));
    const int faults = *rc::gen::inRange(1, 12);
    for (int n = 0; n < faults; ++n) {
      injectFault(fleet);
      fleet.run(Millis(*rc::gen::inRange(1, 1'200)));
    }
    fleet.Network = {};
    for (std::size_t n = 0; n < fleet.size(); ++n)
      fleet.resume(n);
    fleet.run(Convergence);
    RC_ASSERT(staleViews(fleet, Millis(700)) == 0U);
    RC_ASSERT(viewsOfDead(fleet) == 0U);
    RC_ASSERT(fleet.staleCount() == 0U);
  });
}

// Guards against a roll-out during which gateways lose sight of each other.
TEST(RelayProperties, rollingRestartKeepsViews) {
  support::expectHolds(20, [] {
    PeerFleet fleet(12, Domains, SmallReport,
                    *rc::gen::arbitrary<std::uint64_t>());
    const bool fromOld = *rc::gen::arbitrary<bool>();
    for (std::size_t n = 0; fromOld && n < fleet.size(); ++n)
      fleet.useOldBuild(n);
    fleet.run(Millis(2'000));
    for (std::size_t n = 0; n < fleet.size(); ++n) {
      fleet.kill(n);
      fleet.run(Millis(*rc::gen::inRange(100, 1'000)));
      fleet.start(n);
      fleet.run(Millis(*rc::gen::inRange(300, 1'500)));
      // Reports are sent 200 ms after the start at the latest.
      RC_ASSERT(staleViews(fleet, PeerFleet::ReportLifetime) == 0U);
    }
    fleet.run(Convergence);
    RC_ASSERT(staleViews(fleet, Millis(450)) == 0U);
    RC_ASSERT(fleet.relayCount() == Domains);
    RC_ASSERT(fleet.staleCount() == 0U);
  });
}

// Guards against peers that route around each other for longer than a report
// lives when the relay of a domain dies or stands still.
TEST(RelayProperties, lostRelayIsReplacedBeforeReportsExpire) {
  support::expectHolds(50, [] {
    PeerFleet fleet(*rc::gen::inRange<std::size_t>(6, 16), Domains, SmallReport,
                    *rc::gen::arbitrary<std::uint64_t>());
    fleet.run(Millis(3'000));
    const std::size_t relay = firstRelay(fleet);
    const bool isKilled = *rc::gen::arbitrary<bool>();
    isKilled ? fleet.kill(relay) : fleet.pause(relay);
    for (int n = 0; n < 30; ++n) {
      fleet.run(Millis(100));
      RC_ASSERT(staleViews(fleet, Millis(1'300)) == 0U);
    }
    RC_ASSERT(staleViews(fleet, Millis(450)) == 0U);
    RC_ASSERT(fleet.relayCount() == Domains);
  });
}

// Guards against urgent evidence that waits for the relay's next interval.
TEST(RelayProperties, urgentReportReachesAllAtOnce) {
  support::expectHolds(50, [] {
    PeerFleet fleet(12, Domains, SmallReport,
                    *rc::gen::arbitrary<std::uint64_t>());
    fleet.run(Millis(3'000));
    const auto gateway = *rc::gen::inRange<std::size_t>(0, fleet.size());
    const Millis sentAt = fleet.reportAtOnce(gateway);
    fleet.run(Millis(12)); // three hops of at most 4 ms
    for (std::size_t n = 0; n < fleet.size(); ++n) {
      if (n != gateway)
        RC_ASSERT(fleet.now() - fleet.age(n, gateway).value() >= sentAt);
    }
  });
}

// Guards against a fleet that finds itself later than one report interval after
// all its gateways were killed.
TEST(RelayProperties, startedFleetSeesAllAtOnce) {
  for (const std::size_t size : {30U, 100U}) {
    PeerFleet fleet(size, Domains, SmallReport, 1);
    for (std::size_t n = 0; n < size; ++n)
      fleet.start(n);
    fleet.run(Millis(210));
    EXPECT_EQ(staleViews(fleet, Millis(210)), 0U) << size;
  }
}

/// The bytes between domains per report interval of a fleet in which each
/// gateway sends its report to each other one.
double meshBytes(std::size_t size, std::size_t reportBytes) {
  std::size_t bytes = 0;
  for (std::size_t a = 0; a < size; ++a) {
    for (std::size_t b = 0; b < size; ++b) {
      if (a % Domains != b % Domains)
        bytes += reportBytes + PeerFleet::HeaderBytes;
    }
  }
  return static_cast<double>(bytes);
}

struct Traffic {
  double BytesPerInterval = 0;
  double MeanAge = 0;
};

Traffic measure(std::size_t size, std::size_t reportBytes, bool isMesh) {
  PeerFleet fleet(size, Domains, reportBytes, 1);
  for (std::size_t n = 0; isMesh && n < size; ++n)
    fleet.useOldBuild(n);
  fleet.run(Millis(1'500));
  fleet.resetBytes();
  constexpr int Intervals = 4;
  double ages = 0;
  std::size_t views = 0;
  for (int n = 0; n < Intervals; ++n) {
    fleet.run(PeerFleet::ReportInterval);
    for (std::size_t a = 0; a < size; ++a) {
      for (std::size_t b = 0; b < size; ++b) {
        if (a == b)
          continue;
        const auto age = fleet.age(a, b);
        EXPECT_TRUE(age.has_value());
        ages += static_cast<double>(age.value_or(Millis(0)).count());
        ++views;
      }
    }
  }
  return {static_cast<double>(fleet.bytesBetweenDomains()) / Intervals,
          ages / static_cast<double>(views)};
}

// 91 KB a second for 26 peers and five reports a second.
constexpr std::size_t TypicalReport = 700;

TEST(RelayProperties, oldBuildsFormAFullMesh) {
  const Traffic mesh = measure(30, TypicalReport, true);
  EXPECT_EQ(mesh.BytesPerInterval, meshBytes(30, TypicalReport));
  std::cout << "mean age " << mesh.MeanAge << " ms\n";
}

// The target of the design: a tenth of the bytes of a full mesh, from ten
// gateways in each domain on.
void expectATenthOfTheMesh(std::size_t size) {
  const double mesh = meshBytes(size, TypicalReport);
  const Traffic relayed = measure(size, TypicalReport, false);
  const double ratio = relayed.BytesPerInterval / mesh;
  std::cout << size << " gateways: " << mesh << " and "
            << relayed.BytesPerInterval << " bytes an interval, ratio " << ratio
            << "; mean age " << relayed.MeanAge << " ms\n";
  EXPECT_LE(ratio, 0.1) << size;
}

TEST(RelayProperties, bytesBetweenDomainsAreATenth) {
  expectATenthOfTheMesh(30);
  expectATenthOfTheMesh(100);
}

TEST(RelayProperties, bytesBetweenDomainsAreATenthInALargeFleet) {
  expectATenthOfTheMesh(300);
}

// Guards against choices that rest on older loads than those of a full mesh.
TEST(RelayProperties, loadsAreAsFreshAsInAFullMesh) {
  const Traffic mesh = measure(30, TypicalReport, true);
  const Traffic relayed = measure(30, TypicalReport, false);
  EXPECT_LE(relayed.MeanAge, mesh.MeanAge);
}

} // namespace
