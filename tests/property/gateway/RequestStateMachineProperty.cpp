#include "cowslipridge/gateway/RequestStateMachine.hpp"

#include "support/PropertyChecks.hpp"
#include "support/ScriptedPlacementPolicy.hpp"

#include <rapidcheck/gtest.h>

#include <string>

using namespace cowslipridge;
using namespace cowslipridge::gateway;
using catalogue::RouteKind;
using core::Millis;

namespace {

constexpr int Sequences = 10'000;
constexpr std::uint64_t StreamLength = 6;

std::string eventText(std::uint64_t id) {
  return "id: " + std::to_string(id) + "\ndata: " + std::to_string(id * 7) +
         "\n\n";
}

std::string completeStream() {
  std::string text;
  for (std::uint64_t id = 1; id <= StreamLength; ++id)
    text += eventText(id);
  return text;
}

/// Simulates runners with random behavior and counts the executions.
class RandomRunner {
public:
  RandomRunner(RequestStateMachine &machine, support::RecordedActions &actions,
               RouteKind kind)
      : Machine(machine), Actions(actions), Kind(kind) {}

  void step() {
    Now = Now + Millis(*rc::gen::inRange(1, 300));
    detectNewAttempt();
    switch (*rc::gen::inRange(0, 9)) {
    case 0:
      reject();
      break;
    case 1:
      fail500();
      break;
    case 2:
      breakConnection();
      break;
    case 3:
      failToConnect();
      break;
    case 4:
      Machine.onTimer(Machine.nextTimer());
      Now = std::max(Now, Machine.nextTimer());
      break;
    case 5:
      Machine.onCallerDisconnected(Now);
      Disconnected = true;
      break;
    default:
      serve();
      break;
    }
    detectNewAttempt();
  }

  unsigned Ran = 0; ///< runners that started to execute the request
  bool Disconnected = false;

private:
  void detectNewAttempt() {
    if (Actions.Attempts == SeenAttempts)
      return;
    SeenAttempts = Actions.Attempts;
    HeadSent = false;
    NextEvent = Actions.After.value_or(0) + 1;
  }
  [[nodiscard]] bool attemptIsOpen() const {
    return Actions.Open && !Machine.done();
  }

  void head(int status, bool authentic, bool notRun) {
    http1::ResponseHead it;
    it.Status = status;
    ResponseAttributes attributes;
    attributes.Status = status;
    attributes.Authentic = authentic;
    attributes.NotRun = notRun;
    if (*rc::gen::inRange(0, 2) == 1)
      attributes.Confidence = *rc::gen::inRange(0, 101);
    HeadSent = true;
    Machine.onHead(it, attributes, Now);
  }
  void reject() {
    if (!attemptIsOpen() || HeadSent)
      return;
    head(503, true, true);
    Actions.Open = false;
    Machine.onEnd(Now);
  }
  void fail500() {
    if (!attemptIsOpen() || HeadSent)
      return;
    ++Ran;
    head(500, true, false);
    Actions.Open = false;
    Machine.onEnd(Now);
  }
  void breakConnection() {
    if (!attemptIsOpen())
      return;
    Ran += HeadSent ? 0 : 1;
    Actions.Open = false;
    Machine.onFailure(HeadSent ? http1::CallFailure::Broken
                               : http1::CallFailure::BrokenBeforeResponse,
                      Now);
  }
  void failToConnect() {
    if (!attemptIsOpen() || HeadSent)
      return;
    Actions.Open = false;
    Machine.onFailure(http1::CallFailure::NotConnected, Now);
  }
  void serve() {
    if (!attemptIsOpen())
      return;
    const int attemptsBefore = Actions.Attempts;
    if (!HeadSent) {
      ++Ran;
      head(200, *rc::gen::inRange(0, 10) != 0, false);
      if (Actions.Attempts != attemptsBefore || !attemptIsOpen())
        return;
    }
    if (!catalogue::isStream(Kind)) {
      Machine.onData("plain", Now);
      Actions.Open = false;
      Machine.onEnd(Now);
      return;
    }
    serveEvents();
  }
  void serveEvents() {
    std::string bytes;
    const auto n = *rc::gen::inRange<std::uint64_t>(0, StreamLength + 1);
    for (std::uint64_t k = 0; k < n && NextEvent <= StreamLength; ++k)
      bytes += eventText(NextEvent++);
    const bool cut = NextEvent <= StreamLength && *rc::gen::inRange(0, 2) == 1;
    if (cut)
      bytes += eventText(NextEvent).substr(0, 5);
    Machine.onData(bytes, Now);
    if (cut) {
      Actions.Open = false;
      Machine.onFailure(http1::CallFailure::Broken, Now);
    } else if (NextEvent > StreamLength) {
      Actions.Open = false;
      Machine.onEnd(Now);
    }
  }

  RequestStateMachine &Machine;
  support::RecordedActions &Actions;
  RouteKind Kind;
  Millis Now;
  int SeenAttempts = 0;
  bool HeadSent = false;
  std::uint64_t NextEvent = 1;
};

TEST(RequestStateMachineProperty, holdsItsGuaranteesForAnyRunnerBehavior) {
  support::expectHolds(Sequences, [] {
    const auto kind =
        *rc::gen::element(RouteKind::Idempotent, RouteKind::NonIdempotent,
                          RouteKind::Stream, RouteKind::ResumableStream);
    const auto attempts = *rc::gen::inRange(1U, 4U);
    support::ScriptedPlacementPolicy policy;
    policy.PlacementsLeft = *rc::gen::inRange(0, 8);
    policy.AllowRetries = *rc::gen::arbitrary<bool>();
    if (catalogue::isStream(kind) && *rc::gen::arbitrary<bool>())
      policy.FirstTier = 0;
    support::RecordedActions actions;
    RequestStateMachine machine(support::requestContext(kind, attempts), policy,
                                actions);
    machine.start(Millis(0));
    RandomRunner runner(machine, actions, kind);
    const int steps = *rc::gen::inRange(1, 30);
    for (int n = 0; n < steps && !machine.done(); ++n)
      runner.step();

    RC_ASSERT(actions.Responses <= 1);
    RC_ASSERT(actions.Begins <= 1);
    RC_ASSERT(machine.done() ==
              (actions.Responses == 1 || runner.Disconnected));
    RC_ASSERT(!machine.done() || !actions.Open);
    if (!catalogue::isRetryable(kind) && !policy.FirstTier)
      RC_ASSERT(runner.Ran <= 1U);
    if (actions.Responses == 1 && actions.Status == 503)
      RC_ASSERT(runner.Ran == 0U);
    RC_ASSERT(runner.Ran <= attempts);
    if (catalogue::isStream(kind) && actions.Begins == 1) {
      RC_ASSERT(completeStream().starts_with(actions.Body));
      const bool complete = actions.Responses == 1 && !actions.Aborted;
      RC_ASSERT(!complete || actions.Body == completeStream());
    }
  });
}

} // namespace
