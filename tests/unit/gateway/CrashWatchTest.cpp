#include "cowslipridge/gateway/CrashWatch.hpp"

#include <gtest/gtest.h>

#include <string>

using namespace cowslipridge;
using namespace cowslipridge::gateway;
using core::Millis;

namespace {

const core::ServiceId Service("llm");
constexpr std::uint64_t Common = 1;
constexpr std::uint64_t Crashing = 2;
constexpr Millis Settled{1'100};

class CrashWatchTest : public testing::Test {
protected:
  static CallerRequest request(const std::vector<std::uint64_t> &segments,
                               int number) {
    CallerRequest caller;
    caller.Id = core::RequestId("id-" + std::to_string(number));
    for (const std::uint64_t it : segments)
      caller.Prompt.push_back({it, 100});
    caller.Prompt.push_back({1'000U + static_cast<unsigned>(number), 100});
    return caller;
  }
  /// The runner answers the request; the attempt ends after `delay`.
  void attempt(CrashWatch &watch, const CallerRequest &caller,
               const std::string &runner, AttemptOutcome outcome,
               Millis delay = Millis(50)) {
    ++Ticket;
    watch.onSent(Ticket, Service, core::RunnerId(runner), caller, Now);
    watch.onBegun(Ticket, Now);
    Now = Now + delay;
    watch.onEnded(Ticket, outcome, Now);
  }
  static CallerRequest plainRequest(std::uint64_t content, int number) {
    CallerRequest caller;
    caller.Id = core::RequestId("id-" + std::to_string(number));
    caller.Content = content;
    return caller;
  }
  /// The attempt ends before the runner answers.
  void unanswered(CrashWatch &watch, const CallerRequest &caller,
                  const std::string &runner, AttemptOutcome outcome) {
    ++Ticket;
    watch.onSent(Ticket, Service, core::RunnerId(runner), caller, Now);
    Now = Now + Millis(50);
    watch.onEnded(Ticket, outcome, Now);
  }
  void letSettle(CrashWatch &watch) {
    Now = Now + Settled;
    watch.tick(Now);
  }
  std::optional<NoPlacement> refusal(const CrashWatch &watch,
                                     const CallerRequest &caller,
                                     AttemptKind kind = AttemptKind::First) {
    return watch.refusal(caller, Service, kind, Now);
  }

  std::uint64_t Ticket = 0;
  Millis Now{1'000};
};

TEST_F(CrashWatchTest, rejectsPromptsWithTheSegmentAndNoOthers) {
  CrashWatch watch;
  std::vector<QuarantineStart> started;
  watch.setListener([&](const QuarantineStart &it) { started.push_back(it); });
  for (int n = 0; n < 3; ++n) {
    attempt(watch, request({Common, Crashing}, n), "r" + std::to_string(n),
            AttemptOutcome::Broken);
    attempt(watch, request({Common}, 10 + n), "s", AttemptOutcome::Served);
    Now = Now + Millis(400);
  }
  letSettle(watch);
  const auto refused = refusal(watch, request({Common, Crashing}, 20));
  ASSERT_TRUE(refused);
  EXPECT_GT(refused->RetryAfter, Millis(590'000));
  EXPECT_FALSE(refusal(watch, request({Common}, 21)));
  ASSERT_EQ(started.size(), 1U);
  EXPECT_TRUE(started.front().isOwnDecision());
  EXPECT_EQ(started.front().Quarantined.Trait.Id, Crashing);
}

// Guards against a retry that carries the crash to one more runner.
TEST_F(CrashWatchTest, suspectPromptsAreNotRetriedButStillTried) {
  CrashWatch watch;
  const CallerRequest caller = request({Crashing}, 1);
  attempt(watch, caller, "a", AttemptOutcome::Broken);
  EXPECT_FALSE(refusal(watch, caller, AttemptKind::Retry));
  Now = Now + Millis(200);
  attempt(watch, caller, "b", AttemptOutcome::Broken);
  EXPECT_TRUE(refusal(watch, caller, AttemptKind::Retry));
  EXPECT_FALSE(refusal(watch, request({Crashing}, 2)));
}

// Pattern: the small model's answer is given up for the large model's, and its
// runner crashes after that.
TEST_F(CrashWatchTest, blamesAnAnswerThatWasCancelledBeforeTheCrash) {
  CrashWatch watch;
  for (int n = 0; n < 3; ++n) {
    const std::string runner = "r" + std::to_string(n);
    attempt(watch, request({Crashing}, n), runner, AttemptOutcome::Cancelled,
            Millis(1));
    // Another answer at the same runner shows the crash.
    attempt(watch, request({Common}, 10 + n), runner, AttemptOutcome::Broken);
    Now = Now + Millis(400);
    attempt(watch, request({Common}, 20 + n), "s", AttemptOutcome::Served);
  }
  letSettle(watch);
  EXPECT_TRUE(refusal(watch, request({Crashing}, 30)));
  EXPECT_FALSE(refusal(watch, request({Common}, 31)));
}

TEST_F(CrashWatchTest, answersThatBreakLateOrNeverBeganAreNoEvidence) {
  CrashWatch watch;
  for (int n = 0; n < 9; ++n) {
    attempt(watch, request({Crashing}, n), "r", AttemptOutcome::Broken,
            Millis(800));
    ++Ticket;
    watch.onSent(Ticket, Service, core::RunnerId("q"),
                 request({Crashing}, 100 + n), Now);
    watch.onEnded(Ticket, AttemptOutcome::Broken, Now);
    letSettle(watch);
  }
  EXPECT_FALSE(refusal(watch, request({Crashing}, 50), AttemptKind::Retry));
}

TEST_F(CrashWatchTest, ongoingAnswerClearsItsSegments) {
  CrashWatch watch;
  attempt(watch, request({Crashing}, 1), "a", AttemptOutcome::Broken);
  Now = Now + Millis(300);
  attempt(watch, request({Crashing}, 2), "b", AttemptOutcome::Broken);
  ++Ticket;
  watch.onSent(Ticket, Service, core::RunnerId("c"), request({Crashing}, 3),
               Now);
  watch.onBegun(Ticket, Now);
  watch.onEvents(Ticket, Now + Millis(100));
  EXPECT_TRUE(refusal(watch, request({Crashing}, 1), AttemptKind::Retry));
  Now = Now + Millis(700);
  watch.onEvents(Ticket, Now);
  EXPECT_FALSE(refusal(watch, request({Crashing}, 1), AttemptKind::Retry));
}

// Pattern: each gateway sees only one of the crashes. Their clocks differ.
TEST_F(CrashWatchTest, gatewaysJoinTheirEvidence) {
  constexpr Millis ClockDifference{50'000};
  std::vector<CrashWatch> watches(3);
  for (int n = 0; n < 3; ++n) {
    attempt(watches[static_cast<std::size_t>(n)], request({Crashing}, n),
            "r" + std::to_string(n), AttemptOutcome::Broken);
    Now = Now + Millis(300);
  }
  for (std::size_t from = 1; from < watches.size(); ++from) {
    CrashReport report = watches[from].report(Now);
    report.SentAt = report.SentAt + ClockDifference;
    for (limits::EarlyBreak &it : report.Breaks)
      it.At = it.At + ClockDifference;
    watches[0].onPeerReport(report, Now + Millis(2));
  }
  letSettle(watches[0]);
  EXPECT_TRUE(refusal(watches[0], request({Crashing}, 9)));
  EXPECT_FALSE(refusal(watches[1], request({Crashing}, 9)));
  watches[1].onPeerReport(watches[0].report(Now), Now);
  EXPECT_TRUE(refusal(watches[1], request({Crashing}, 9)));
}

TEST_F(CrashWatchTest, answerAtAnotherGatewayClearsItsSegments) {
  CrashWatch here;
  CrashWatch there;
  attempt(here, request({Common}, 1), "a", AttemptOutcome::Broken);
  Now = Now + Millis(300);
  attempt(here, request({Common}, 2), "b", AttemptOutcome::Broken);
  there.onPeerReport(here.report(Now), Now);
  attempt(there, request({Common}, 3), "c", AttemptOutcome::Served);
  here.onPeerReport(there.report(Now), Now);
  attempt(here, request({Common}, 4), "d", AttemptOutcome::Broken);
  letSettle(here);
  EXPECT_FALSE(refusal(here, request({Common}, 5), AttemptKind::Retry));
}

// Guards against one plain request that crashes runner after runner, as it
// comes again with a new id each time.
TEST_F(CrashWatchTest, rejectsARequestThatCrashedThreeRunners) {
  CrashWatch watch;
  std::vector<QuarantineStart> started;
  watch.setListener([&](const QuarantineStart &it) { started.push_back(it); });
  for (int n = 0; n < 3; ++n) {
    unanswered(watch, plainRequest(7, n), "r" + std::to_string(n),
               AttemptOutcome::Broken);
    attempt(watch, plainRequest(100U + static_cast<unsigned>(n), 10 + n), "s",
            AttemptOutcome::Served);
  }
  letSettle(watch);
  EXPECT_TRUE(refusal(watch, plainRequest(7, 20)));
  EXPECT_FALSE(refusal(watch, plainRequest(8, 21)));
  ASSERT_EQ(started.size(), 1U);
  EXPECT_EQ(started.front().Quarantined.Trait,
            (limits::RequestTrait{Service, 7, limits::TraitKind::Content}));
}

// Guards against requests that are all alike and are kept from all runners,
// because a few of their answers are lost.
TEST_F(CrashWatchTest, lostAnswersBesideOnesThatGoOnAreNoCrashes) {
  constexpr std::uint64_t Alike = 7;
  CrashWatch watch;
  for (int n = 0; n < 6; ++n) {
    const std::uint64_t beside = 100U + static_cast<unsigned>(n);
    watch.onSent(beside, Service, core::RunnerId("r"),
                 plainRequest(beside, 100 + n), Now);
    unanswered(watch, plainRequest(Alike, n), "r", AttemptOutcome::Broken);
    Now = Now + Millis(300);
    watch.onBegun(beside, Now);
    watch.onEnded(beside, AttemptOutcome::Served, Now);
  }
  letSettle(watch);
  EXPECT_FALSE(refusal(watch, plainRequest(Alike, 50)));
  EXPECT_FALSE(refusal(watch, plainRequest(Alike, 51), AttemptKind::Retry));
}

// Pattern: a request and its retries break within a short time at three
// runners, and its caller sends it again.
TEST_F(CrashWatchTest, requestThatBrokeAtThreeRunnersIsNotRetried) {
  CrashWatch watch;
  for (const char *runner : {"a", "b", "c"}) {
    EXPECT_FALSE(refusal(watch, plainRequest(7, 1), AttemptKind::Retry));
    unanswered(watch, plainRequest(7, 1), runner, AttemptOutcome::Broken);
  }
  EXPECT_TRUE(refusal(watch, plainRequest(7, 2), AttemptKind::Retry));
  EXPECT_FALSE(refusal(watch, plainRequest(7, 2)));
}

// Guards against blaming requests that were in progress at the crashed runners,
// or their prompts.
TEST_F(CrashWatchTest, requestsBesideTheOneThatCrashesAreNotBlamed) {
  CrashWatch watch;
  const CallerRequest crashing = plainRequest(7, 1);
  CallerRequest beside = request({Common}, 2);
  beside.Content = 9;
  for (int n = 0; n < 3; ++n) {
    const std::string runner = "r" + std::to_string(n);
    ++Ticket;
    watch.onSent(Ticket, Service, core::RunnerId(runner), beside, Now);
    const std::uint64_t besideTicket = Ticket;
    unanswered(watch, crashing, runner, AttemptOutcome::Broken);
    watch.onEnded(besideTicket, AttemptOutcome::Broken, Now);
  }
  attempt(watch, beside, "s", AttemptOutcome::Served);
  letSettle(watch);
  EXPECT_TRUE(refusal(watch, crashing));
  EXPECT_FALSE(refusal(watch, beside));
}

// Pattern: a rack with all runners fails; a request breaks there and is served
// elsewhere.
TEST_F(CrashWatchTest, requestsOfALostRackAreNotBlamed) {
  CrashWatch watch;
  for (int n = 0; n < 30; ++n) {
    ++Ticket;
    watch.onSent(Ticket, Service, core::RunnerId("r" + std::to_string(n % 6)),
                 plainRequest(100U + static_cast<unsigned>(n), n), Now);
    watch.onEnded(Ticket, AttemptOutcome::Broken, Now);
  }
  letSettle(watch);
  for (int n = 0; n < 30; ++n)
    EXPECT_FALSE(refusal(watch,
                         plainRequest(100U + static_cast<unsigned>(n), n),
                         AttemptKind::Retry));
}

// Pattern: the same prompt comes again under other ids and crashes each runner;
// sound prompts share its segments.
TEST_F(CrashWatchTest, requestIsBlamedBeforeSegmentsThatWereAnswered) {
  CrashWatch watch;
  attempt(watch, request({Common, Crashing}, 50), "s", AttemptOutcome::Served);
  CallerRequest crashing;
  for (int n = 0; n < 3; ++n) {
    crashing = request({Common, Crashing}, n);
    crashing.Content = 7;
    attempt(watch, crashing, "r" + std::to_string(n), AttemptOutcome::Broken);
    Now = Now + Millis(300);
  }
  letSettle(watch);
  EXPECT_TRUE(refusal(watch, crashing));
  EXPECT_FALSE(refusal(watch, request({Common, Crashing}, 51)));
}

// Guards against forgetting the crashes of a segment when a request that was
// retried several times was blamed first.
TEST_F(CrashWatchTest, segmentIsBlamedOnceOtherRequestsWithItCrashRunners) {
  CrashWatch watch;
  int runners = 0;
  const auto crash = [&](int number) {
    CallerRequest caller = request({Common, Crashing}, number);
    caller.Content = 1'000U + static_cast<unsigned>(number);
    attempt(watch, caller, "r" + std::to_string(runners++),
            AttemptOutcome::Broken);
    attempt(watch, request({Common}, 100 + runners), "s",
            AttemptOutcome::Served);
    Now = Now + Millis(300);
  };
  for (int n = 0; n < 3; ++n)
    crash(1);
  letSettle(watch);
  CallerRequest again = request({Common, Crashing}, 50);
  again.Content = 1'001;
  EXPECT_TRUE(refusal(watch, again));
  EXPECT_FALSE(refusal(watch, request({Common, Crashing}, 51)));
  crash(2);
  crash(3);
  letSettle(watch);
  EXPECT_TRUE(refusal(watch, request({Common, Crashing}, 52)));
  EXPECT_FALSE(refusal(watch, request({Common}, 53)));
}

} // namespace
