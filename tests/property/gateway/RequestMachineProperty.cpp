#include "cowslipridge/gateway/RequestMachine.hpp"

#include "support/PropertyChecks.hpp"
#include "support/ScriptedPlacer.hpp"

#include <rapidcheck/gtest.h>

#include <string>

using namespace cowslipridge;
using namespace cowslipridge::gateway;
using catalogue::RouteKind;
using core::Millis;

namespace {

constexpr int Histories = 10'000;
constexpr std::uint64_t StreamLength = 6;

std::string eventText(std::uint64_t id) {
  return "id: " + std::to_string(id) + "\ndata: " + std::to_string(id * 7) +
         "\n\n";
}

std::string wholeStream() {
  std::string text;
  for (std::uint64_t id = 1; id <= StreamLength; ++id)
    text += eventText(id);
  return text;
}

/// Plays a runner that behaves in any way, and keeps count of what ran.
class AnyRunner {
public:
  AnyRunner(RequestMachine &machine, support::RecordedActions &actions,
            RouteKind kind)
      : Machine(machine), Actions(actions), Kind(kind) {}

  void step() {
    Now = Now + Millis(*rc::gen::inRange(1, 300));
    noticeSend();
    switch (*rc::gen::inRange(0, 9)) {
    case 0:
      reject();
      break;
    case 1:
      fail500();
      break;
    case 2:
      breakOff();
      break;
    case 3:
      notConnected();
      break;
    case 4:
      Machine.onTimer(Machine.nextTimer());
      Now = std::max(Now, Machine.nextTimer());
      break;
    case 5:
      Machine.onCallerLeft(Now);
      Left = true;
      break;
    default:
      serve();
      break;
    }
    noticeSend();
  }

  unsigned Ran = 0; ///< runners that began to work on it
  bool Left = false;

private:
  void noticeSend() {
    if (Actions.Sends == SeenSends)
      return;
    SeenSends = Actions.Sends;
    HeadSent = false;
    NextEvent = Actions.After.value_or(0) + 1;
  }
  [[nodiscard]] bool open() const { return Actions.Open && !Machine.done(); }

  void head(int status, bool authentic, bool notRun) {
    http1::ResponseHead it;
    it.Status = status;
    RunnerVerdict verdict;
    verdict.Status = status;
    verdict.Authentic = authentic;
    verdict.NotRun = notRun;
    if (*rc::gen::inRange(0, 2) == 1)
      verdict.Confidence = *rc::gen::inRange(0, 101);
    HeadSent = true;
    Machine.onHead(it, verdict, Now);
  }
  void reject() {
    if (!open() || HeadSent)
      return;
    head(503, true, true);
    Actions.Open = false;
    Machine.onEnd(Now);
  }
  void fail500() {
    if (!open() || HeadSent)
      return;
    ++Ran;
    head(500, true, false);
    Actions.Open = false;
    Machine.onEnd(Now);
  }
  void breakOff() {
    if (!open())
      return;
    Ran += HeadSent ? 0 : 1;
    Actions.Open = false;
    Machine.onFailure(HeadSent ? http1::CallFailure::Broken
                               : http1::CallFailure::BrokenEarly,
                      Now);
  }
  void notConnected() {
    if (!open() || HeadSent)
      return;
    Actions.Open = false;
    Machine.onFailure(http1::CallFailure::NotConnected, Now);
  }
  void serve() {
    if (!open())
      return;
    const int sends = Actions.Sends;
    if (!HeadSent) {
      ++Ran;
      head(200, *rc::gen::inRange(0, 10) != 0, false);
      if (Actions.Sends != sends || !open())
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

  RequestMachine &Machine;
  support::RecordedActions &Actions;
  RouteKind Kind;
  Millis Now;
  int SeenSends = 0;
  bool HeadSent = false;
  std::uint64_t NextEvent = 1;
};

TEST(RequestMachineProperty, keepsItsPromisesWhateverRunnersDo) {
  support::expectHolds(Histories, [] {
    const auto kind =
        *rc::gen::element(RouteKind::Idempotent, RouteKind::NonIdempotent,
                          RouteKind::Stream, RouteKind::ResumableStream);
    const auto attempts = *rc::gen::inRange(1U, 4U);
    support::ScriptedPlacer placer;
    placer.Places = *rc::gen::inRange(0, 8);
    placer.AllowRepeats = *rc::gen::arbitrary<bool>();
    if (catalogue::isStream(kind) && *rc::gen::arbitrary<bool>())
      placer.FirstTier = 0;
    support::RecordedActions actions;
    RequestMachine machine(support::requestFacts(kind, attempts), placer,
                           actions);
    machine.start(Millis(0));
    AnyRunner runner(machine, actions, kind);
    const int steps = *rc::gen::inRange(1, 30);
    for (int n = 0; n < steps && !machine.done(); ++n)
      runner.step();

    RC_ASSERT(actions.Answers <= 1);
    RC_ASSERT(actions.Begins <= 1);
    RC_ASSERT(machine.done() == (actions.Answers == 1 || runner.Left));
    RC_ASSERT(!machine.done() || !actions.Open);
    if (!catalogue::mayRepeat(kind) && !placer.FirstTier)
      RC_ASSERT(runner.Ran <= 1U);
    if (actions.Answers == 1 && actions.Status == 503)
      RC_ASSERT(runner.Ran == 0U);
    RC_ASSERT(runner.Ran <= attempts);
    if (catalogue::isStream(kind) && actions.Begins == 1) {
      RC_ASSERT(wholeStream().starts_with(actions.Body));
      const bool complete = actions.Answers == 1 && !actions.Aborted;
      RC_ASSERT(!complete || actions.Body == wholeStream());
    }
  });
}

} // namespace
