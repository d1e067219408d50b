#include "soak/Promises.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::soak;
using core::Millis;
using standins::platform::RequestStep;

namespace {

/// Builds histories of requests and what became of them.
class PromisesTest : public testing::Test {
protected:
  CallerAttempt &add(const std::string &id, RequestKind kind, int status) {
    CallerAttempt attempt;
    attempt.Id = id;
    attempt.Kind = kind;
    attempt.Service = "desk";
    attempt.SentAt = Millis(1'000);
    attempt.EndedAt = Millis(1'100);
    attempt.Status = status;
    attempt.Answer = AnswerState::Whole;
    Seen.FaultsEndedAt = Millis(60'000);
    return Seen.Attempts.emplace_back(attempt);
  }
  void run(const std::string &id, const std::string &runner,
           Millis at = Millis(1'050)) {
    Seen.Steps.push_back({at, RequestStep::Arrived, id, runner, "desk"});
    Seen.Steps.push_back({at, RequestStep::Run, id, runner, "desk"});
  }
  std::string rules() const {
    std::string text;
    for (const Violation &it : findViolations(Seen, {}))
      text += it.Rule + " ";
    return text;
  }

  History Seen;
};

TEST_F(PromisesTest, holdsForRequestsThatRanOnce) {
  add("a", RequestKind::Unsafe, 200);
  run("a", "r1");
  add("b", RequestKind::Unsafe, 503);
  EXPECT_EQ(rules(), "");
}

TEST_F(PromisesTest, findsUnsafeRequestsThatRanTwice) {
  add("a", RequestKind::Unsafe, 200);
  run("a", "r1");
  run("a", "r2");
  EXPECT_EQ(rules(), "TWICE ");
}

TEST_F(PromisesTest, safeRequestsMayRunTwice) {
  add("a", RequestKind::Safe, 200);
  run("a", "r1");
  run("a", "r2");
  EXPECT_EQ(rules(), "");
}

TEST_F(PromisesTest, findsStreamsThatRunAtTwoRunnersAtOnce) {
  const auto end = [&](const std::string &runner, Millis at) {
    Seen.Steps.push_back({at, RequestStep::Ended, "a", runner, "llm"});
  };
  add("a", RequestKind::Stream, 200);
  run("a", "r1", Millis(1'000));
  run("a", "r2", Millis(2'000));
  EXPECT_EQ(rules(), "TWICE ") << "the first run never ended";
  end("r1", Millis(2'401));
  EXPECT_EQ(rules(), "TWICE ") << "it ended late";
  Seen.Faults.push_back({Millis(500), Millis(600), "r1"});
  EXPECT_EQ(rules(), "") << "a fault of the runner explains it";
}

TEST_F(PromisesTest, streamMayGoOnAtAnotherRunner) {
  add("a", RequestKind::Stream, 200);
  run("a", "r1", Millis(1'000));
  Seen.Steps.push_back({Millis(2'300), RequestStep::Ended, "a", "r1", "llm"});
  run("a", "r2", Millis(2'000));
  EXPECT_EQ(rules(), "");
}

TEST_F(PromisesTest, findsFalsePromises) {
  for (const int status : {408, 421, 429, 503})
    add("a" + std::to_string(status), RequestKind::Unsafe, status);
  run("a408", "r1");
  run("a421", "r1");
  run("a429", "r1");
  run("a503", "r1", Millis(9'000));
  EXPECT_EQ(rules(), "REFUSED REFUSED REFUSED REFUSED ");
}

TEST_F(PromisesTest, findsWrongAnswers) {
  add("a", RequestKind::Safe, 200).Answer = AnswerState::Wrong;
  add("b", RequestKind::Stream, 200).Answer = AnswerState::Wrong;
  EXPECT_EQ(rules(), "MIXED ORDER ");
}

TEST_F(PromisesTest, findsMoreThanThreeRequestsOnTooManyRunners) {
  for (int n = 0; n < 4; ++n) {
    const std::string id = "a" + std::to_string(n);
    EXPECT_EQ(rules(), "");
    add(id, RequestKind::Safe, 200);
    for (const char *runner : {"r1", "r2", "r3"})
      run(id, runner);
  }
  EXPECT_EQ(rules(), "BUDGET BUDGET BUDGET BUDGET ");
}

TEST_F(PromisesTest, findsMoreRepeatsInAWindowThanTheBudget) {
  for (int n = 0; n < 60; ++n) {
    const std::string id = "a" + std::to_string(n);
    add(id, RequestKind::Safe, 200).SentAt = Millis(20'000 + n);
    run(id, "r1", Millis(20'100));
    run(id, "r2", Millis(20'200));
  }
  EXPECT_EQ(rules(), "") << "60 repeats of 60 requests";
  for (int n = 0; n < 60; ++n)
    run("a" + std::to_string(n), "r1", Millis(20'300));
  EXPECT_EQ(rules(), "BUDGET ");
}

TEST_F(PromisesTest, findsProcessesThatEndedAndRequestsThatStayUnserved) {
  add("a", RequestKind::Safe, 502).SentAt = Millis(70'000);
  Seen.Ends.push_back({Millis(5'000), "gateway-1", 139});
  EXPECT_EQ(rules(), "ENDED RECOVER ");
}

TEST_F(PromisesTest, refusedRequestMayBeSentAgainUnderItsId) {
  add("a", RequestKind::Unsafe, 503);
  add("a", RequestKind::Unsafe, 200);
  run("a", "r1");
  EXPECT_EQ(rules(), "");
  run("a", "r2");
  EXPECT_EQ(rules(), "TWICE ");
}

TEST_F(PromisesTest, findsRunnersWithMoreTimeThanTheirCallers) {
  for (int n = 0; n < 21; ++n) {
    EXPECT_EQ(rules(), "") << "20 are allowed";
    const std::string id = "a" + std::to_string(n);
    add(id, RequestKind::Safe, 200);
    run(id, "r1", Millis(1'600));
    Seen.Steps[Seen.Steps.size() - 2].Remaining = Millis(2'901);
  }
  EXPECT_NE(rules().find("DEADLINE "), std::string::npos);
  Seen.Faults.push_back({Millis(500), Millis(1'700), "gateway-1"});
  EXPECT_EQ(rules(), "") << "a fault of the gateway explains it";
}

} // namespace
