#include "DispatcherFixture.hpp"
#include "support/PlainCatalogue.hpp"

#include <set>

using namespace cowslipridge;
using namespace cowslipridge::gateway;
using core::Millis;

namespace {

// The evidence on which versions of a roll-out are compared.
TEST_F(DispatcherTest, recordsTheSpeedOfCompleteStreamsByTheLoadAtTheirRunner) {
  const auto first = place(RequestDispatcher, request(1, 500));
  ASSERT_TRUE(first);
  const auto events = [&](unsigned count) {
    RequestDispatcher.onEvents(first->Ticket, count, Now);
    Now = Now + Millis(30);
  };
  RequestDispatcher.onHead(first->Ticket, {}, Now);
  events(2); // they say nothing about the interval
  events(1);
  events(2);
  RequestDispatcher.onEnded(first->Ticket, AttemptOutcome::Served, Now);
  const auto pooled = RequestDispatcher.pooledEvidence();
  ASSERT_EQ(pooled.size(), 1U);
  rollout::IntervalsByLoad expected;
  expected.add(0, 60.0 / 3);
  EXPECT_EQ(pooled.begin()->second.Intervals, expected);
  // Too few events, and a stream that broke off.
  for (const auto outcome : {AttemptOutcome::Served, AttemptOutcome::Broken}) {
    const auto other = place(RequestDispatcher, request(1, 500));
    ASSERT_TRUE(other);
    RequestDispatcher.onHead(other->Ticket, {}, Now);
    RequestDispatcher.onEvents(other->Ticket, 3, Now);
    if (outcome == AttemptOutcome::Broken)
      RequestDispatcher.onEvents(other->Ticket, 5, Now + Millis(100));
    RequestDispatcher.onEnded(other->Ticket, outcome, Now);
  }
  EXPECT_EQ(RequestDispatcher.pooledEvidence().begin()->second.Intervals,
            expected);
}

// Guards against a version of a plain service that is slow without evidence.
TEST(PlainDispatcherTest, recordsTheDurationOfPlainAnswersAndTimeouts) {
  const auto declared = support::plainCatalogue();
  Dispatcher dispatcher{config::GatewaySettings{}};
  dispatcher.setCatalogue(declared);
  membership::BackendServer server;
  server.Id = core::RunnerId("runner");
  server.Service = support::PlainService;
  server.Version = core::VersionId("v1");
  dispatcher.servers().put(server);
  RequestContext context;
  context.Catalogue = declared;
  context.Route = &declared->catalogue().Routes.front();
  context.Deadline = Millis(10'000);
  Millis now{1'000};
  const auto run = [&](Millis duration, AttemptOutcome outcome) {
    context.Caller.Id = core::RequestId(std::to_string(now.count()));
    const auto result =
        dispatcher.place(context, {}, {}, AttemptKind::First, now);
    const auto ticket = std::get<Placement>(result).Ticket;
    now = now + duration;
    dispatcher.onEnded(ticket, outcome, now);
  };
  run(Millis(30), AttemptOutcome::Served);
  run(Millis(240), AttemptOutcome::TimedOut);
  run(Millis(20), AttemptOutcome::ErrorResponse);
  rollout::IntervalsByLoad expected;
  expected.add(0, 30);
  expected.add(0, 240);
  const auto pooled = dispatcher.pooledEvidence();
  ASSERT_EQ(pooled.size(), 1U);
  EXPECT_EQ(pooled.begin()->second.Durations, expected);
}

// Pattern: half of the runners reject most of what they get. Two rejections end
// a request whose route allows few attempts.
TEST_F(DispatcherTest, prefersRunnersThatDoNotReject) {
  std::set<core::RunnerId> rejecting;
  for (int n = 0; n < 6; ++n)
    rejecting.insert(core::RunnerId("runner-" + std::to_string(n)));
  int rejected = 0;
  constexpr int Requests = 400;
  for (std::uint64_t n = 0; n < Requests; ++n) {
    Now = Now + Millis(40);
    const auto placement = place(RequestDispatcher, request(n % 30, 2'000));
    ASSERT_TRUE(placement);
    const bool isRejected = rejecting.contains(placement->Runner) && n % 5 < 3;
    if (!isRejected) {
      serve(RequestDispatcher, *placement);
      continue;
    }
    ++rejected;
    RequestDispatcher.onEnded(placement->Ticket, AttemptOutcome::Rejected, Now);
  }
  // Without a preference, 134.
  EXPECT_LE(rejected, Requests / 10);
}

// Guards against keeping a runner from requests after it recovered.
TEST_F(DispatcherTest, runnerThatRejectedIsTriedAgain) {
  for (int n = 0; n < 6; ++n) {
    const auto placement = place(RequestDispatcher, request(1, 2'000));
    ASSERT_TRUE(placement);
    RequestDispatcher.onEnded(placement->Ticket, AttemptOutcome::Rejected, Now);
  }
  std::set<core::RunnerId> used;
  for (std::uint64_t n = 0; n < 600; ++n) {
    Now = Now + Millis(40);
    const auto placement = place(RequestDispatcher, request(n % 30, 2'000));
    ASSERT_TRUE(placement);
    used.insert(placement->Runner);
    serve(RequestDispatcher, *placement);
  }
  // All of the pool that serves the small model.
  Dispatcher fresh(settings());
  fresh.setCatalogue(Declared);
  for (int n = 0; n < 12; ++n)
    add(fresh, "runner-" + std::to_string(n));
  std::set<core::RunnerId> usual;
  for (std::uint64_t n = 0; n < 600; ++n) {
    const auto placement = place(fresh, request(n % 30, 2'000));
    ASSERT_TRUE(placement);
    usual.insert(placement->Runner);
    serve(fresh, *placement);
  }
  EXPECT_GE(used.size() + 1, usual.size());
}

} // namespace
