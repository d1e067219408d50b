#include "cowslipridge/membership/ColdRunners.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::membership;
using core::Millis;

namespace {

const core::RunnerId Runner("r");
constexpr Millis ColdStart{3'000};
constexpr Millis FirstStart{1'000'000};
constexpr Millis SecondStart{2'000'000};

BackendServer entry(Millis startedAt, Millis remaining = Millis()) {
  BackendServer server;
  server.Id = Runner;
  server.StartedAt = startedAt;
  server.ColdRemaining = remaining;
  return server;
}

Millis coldStart(const core::RunnerId & /*runner*/) { return ColdStart; }

ColdRunners warmRunner() {
  ColdRunners runners;
  runners.onEntry(entry(FirstStart), Millis(0));
  return runners;
}

TEST(ColdRunnersTest, theEntryNamesTheColdPhase) {
  ColdRunners runners;
  runners.onEntry(entry(FirstStart, Millis(2'000)), Millis(100));
  EXPECT_EQ(runners.step(Runner, Millis(2'099)), WarmUpStep::Cold);
  EXPECT_EQ(runners.step(Runner, Millis(2'100)), WarmUpStep::FirstStep);
  EXPECT_EQ(runners.step(Runner, Millis(2'600)), WarmUpStep::SecondStep);
  EXPECT_EQ(runners.step(Runner, Millis(3'100)), WarmUpStep::Warm);
}

// Guards against a runner that restarts while it is out of reach and gets its
// whole load at once when it is back.
TEST(ColdRunnersTest, aRunnerThatWasOutOfReachIsColdWhenItIsBack) {
  ColdRunners runners = warmRunner();
  EXPECT_TRUE(runners.onUnreachable(Runner, FirstStart, Millis(1'000)));
  EXPECT_FALSE(runners.onUnreachable(Runner, FirstStart, Millis(1'100)));
  EXPECT_EQ(runners.step(Runner, Millis(60'000)), WarmUpStep::Cold);
  EXPECT_TRUE(runners.onResponse(Runner, FirstStart, Millis(59'900), ColdStart,
                                 Millis(60'000)));
  EXPECT_EQ(runners.step(Runner, Millis(62'999)), WarmUpStep::Cold);
  EXPECT_EQ(runners.step(Runner, Millis(64'000)), WarmUpStep::Warm);
}

// Guards against runners that lose their load after a single lost connection.
TEST(ColdRunnersTest, anAnswerToAnEarlierRequestShowsThatItHasNotRestarted) {
  ColdRunners runners = warmRunner();
  runners.onUnreachable(Runner, FirstStart, Millis(1'000));
  EXPECT_FALSE(runners.onResponse(Runner, FirstStart, Millis(900), ColdStart,
                                  Millis(1'200)));
  EXPECT_EQ(runners.step(Runner, Millis(1'200)), WarmUpStep::Warm);
}

TEST(ColdRunnersTest, aLaterIncarnationEndsWhatWasKnown) {
  ColdRunners runners = warmRunner();
  runners.onUnreachable(Runner, FirstStart, Millis(1'000));
  runners.onEntry(entry(SecondStart), Millis(1'100));
  EXPECT_EQ(runners.step(Runner, Millis(1'100)), WarmUpStep::Warm);
  // An attempt at the earlier incarnation ends late.
  EXPECT_FALSE(runners.onUnreachable(Runner, FirstStart, Millis(1'200)));
  EXPECT_EQ(runners.step(Runner, Millis(1'200)), WarmUpStep::Warm);
}

// Guards against a runner that a gateway limits for ever: it suspected the
// runner, and is none of those that use it while it is cold.
TEST(ColdRunnersTest, aSuspicionEndsWhenAPeerHasReachedTheRunnerSince) {
  ColdRunners runners = warmRunner();
  runners.onUnreachable(Runner, FirstStart, Millis(1'000));
  // What the peer knows is older than the suspicion.
  runners.onPeerReport({true, {{Runner, FirstStart, Millis(2'900)}}}, coldStart,
                       Millis(1'000));
  EXPECT_TRUE(runners.isSuspected(Runner));
  runners.onPeerReport({true, {{Runner, FirstStart, ColdStart}}}, coldStart,
                       Millis(2'000));
  EXPECT_FALSE(runners.isSuspected(Runner));
  EXPECT_EQ(runners.step(Runner, Millis(4'999)), WarmUpStep::Cold);
  EXPECT_EQ(runners.step(Runner, Millis(6'000)), WarmUpStep::Warm);
}

// Guards against a runner that turns cold again with each listing of the same
// entry.
TEST(ColdRunnersTest, anEntryThatIsListedAgainProlongsNothing) {
  ColdRunners runners;
  BackendServer server = entry(FirstStart, Millis(2'000));
  server.Sequence = 4;
  runners.onEntry(server, Millis(100));
  runners.onEntry(server, Millis(2'000));
  EXPECT_EQ(runners.step(Runner, Millis(3'100)), WarmUpStep::Warm);
  server.Sequence = 5; // cold again
  runners.onEntry(server, Millis(4'000));
  EXPECT_EQ(runners.step(Runner, Millis(5'999)), WarmUpStep::Cold);
}

// Guards against a runner that is out of reach for so long that its entry
// expires, and gets its whole load at once when it is listed again.
TEST(ColdRunnersTest, aSuspicionOutlivesTheEntry) {
  ColdRunners runners = warmRunner();
  runners.onUnreachable(Runner, FirstStart, Millis(1'000));
  runners.removeRunner(Runner);
  runners.tick(coldStart, Millis(4'000));
  runners.onEntry(entry(FirstStart), Millis(20'000));
  EXPECT_EQ(runners.step(Runner, Millis(20'000)), WarmUpStep::Cold);
  // Another incarnation decides for itself, also one with an earlier time.
  runners.removeRunner(Runner);
  runners.onEntry(entry(Millis(500'000)), Millis(21'000));
  EXPECT_EQ(runners.step(Runner, Millis(21'000)), WarmUpStep::Warm);
}

TEST(ColdRunnersTest, whatIsKnownOfARemovedRunnerIsForgottenInTheEnd) {
  ColdRunners runners = warmRunner();
  runners.onUnreachable(Runner, FirstStart, Millis(1'000));
  runners.removeRunner(Runner);
  runners.tick(coldStart, Millis(4'000));
  runners.tick(coldStart, Millis(4'000) + ColdRunners::RemovedRetention);
  EXPECT_TRUE(runners.report(Millis(200'000)).Runners.empty());
}

TEST(ColdRunnersTest, peersShareWhatTheyKnow) {
  ColdRunners observer = warmRunner();
  ColdRunners other = warmRunner();
  observer.onUnreachable(Runner, FirstStart, Millis(1'000));
  other.onPeerReport(observer.report(Millis(1'000)), coldStart, Millis(1'010));
  EXPECT_EQ(other.step(Runner, Millis(1'010)), WarmUpStep::Cold);
  // What rests on reports is not reported on.
  EXPECT_TRUE(other.report(Millis(1'010)).Runners.empty());
  observer.onResponse(Runner, FirstStart, Millis(2'000), ColdStart,
                      Millis(2'100));
  const ColdReport report = observer.report(Millis(2'100));
  ASSERT_EQ(report.Runners.size(), 1U);
  EXPECT_EQ(report.Runners.front(),
            (ColdRunner{Runner, FirstStart, ColdStart}));
}

// Guards against reports that grow with the runners of a roll-out, which all
// start cold.
TEST(ColdRunnersTest, aColdPhaseThatTheEntryNamesIsNotReported) {
  ColdRunners runners;
  runners.onEntry(entry(FirstStart, Millis(2'000)), Millis(100));
  EXPECT_EQ(runners.step(Runner, Millis(200)), WarmUpStep::Cold);
  EXPECT_TRUE(runners.report(Millis(200)).Runners.empty());
}

// Guards against a runner that stays limited because the gateway that suspected
// it has stopped.
TEST(ColdRunnersTest, aSuspicionOfAPeerThatIsGoneEnds) {
  ColdRunners runners = warmRunner();
  runners.onPeerReport({true, {{Runner, FirstStart, std::nullopt}}}, coldStart,
                       Millis(1'000));
  runners.tick(coldStart, Millis(2'900));
  EXPECT_EQ(runners.step(Runner, Millis(2'900)), WarmUpStep::Cold);
  runners.tick(coldStart, Millis(3'100));
  EXPECT_EQ(runners.step(Runner, Millis(3'999)), WarmUpStep::Cold);
  EXPECT_EQ(runners.step(Runner, Millis(5'000)), WarmUpStep::Warm);
}

// Guards against a gateway that starts and sends a runner its whole load that
// was out of reach before.
TEST(ColdRunnersTest, aGatewayThatHasJustStartedTakesRunnersForCold) {
  ColdRunners runners = warmRunner();
  runners.assumeCold(entry(FirstStart), ColdStart, Millis(500));
  EXPECT_EQ(runners.step(Runner, Millis(600)), WarmUpStep::Cold);
  EXPECT_FALSE(runners.report(Millis(600)).Settled);
  EXPECT_TRUE(runners.report(Millis(600)).Runners.empty());
  // Another one that has just started knows no more.
  runners.onPeerReport({false, {}}, coldStart, Millis(700));
  EXPECT_EQ(runners.step(Runner, Millis(700)), WarmUpStep::Cold);
  runners.onPeerReport({true, {}}, coldStart, Millis(800));
  EXPECT_EQ(runners.step(Runner, Millis(800)), WarmUpStep::Warm);
}

TEST(ColdRunnersTest, reportsOfUnknownIncarnationsAreIgnored) {
  ColdRunners runners = warmRunner();
  runners.onPeerReport({true, {{Runner, SecondStart, Millis(5'000)}}},
                       coldStart, Millis(1'000));
  runners.onPeerReport(
      {true, {{core::RunnerId("other"), FirstStart, Millis(5'000)}}}, coldStart,
      Millis(1'000));
  EXPECT_EQ(runners.step(Runner, Millis(1'000)), WarmUpStep::Warm);
  EXPECT_TRUE(runners.report(Millis(1'000)).Runners.empty());
}

} // namespace
