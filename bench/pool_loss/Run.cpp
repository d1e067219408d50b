#include "pool_loss/Run.hpp"

#include "support/Statistics.hpp"

#include <algorithm>
#include <cmath>

namespace cowslipridge::bench::pool_loss {

namespace {

constexpr core::Millis FaultAt{60'000};
constexpr core::Millis RunLength{150'000};
constexpr core::Millis CallTimeout{5'000};
constexpr core::Millis HedgeCheckInterval{50};
constexpr core::Millis Deadline{20'000};
constexpr std::size_t MaxAttempts = 4;
constexpr double RequestsPerSecond = 14;
constexpr std::uint64_t PromptTokens = 1'000;
constexpr std::uint64_t AnswerTokens = 80;
/// Factor by which the slow runner takes longer.
constexpr double SlowFactor = 10;
/// Consecutive failures after which an entry suspects that a runner has failed.
constexpr unsigned FailuresUntilSuspected = 2;
/// More than `SteadyCalls` calls to failed runners within this time count as
/// steady use; probing needs fewer.
constexpr core::Millis SteadyWindow{5'000};
constexpr std::size_t SteadyCalls = 4;

} // namespace

Run::Run(Fault fault, Policy policy, std::uint64_t seed)
    : InjectedFault(fault), TestedPolicy(std::move(policy)), Generator(seed),
      Fleet(Events, FleetSettings(), seed, [](auto, auto, auto, auto) {}) {
  for (std::size_t n = 0; n < Fleet.settings().Entries; ++n) {
    Entries.push_back(std::make_unique<Entry>(seed * 100 + n));
    Entries.back()->NextRunner = n;
    Entries.back()->Failures.resize(Fleet.settings().Runners);
  }
}

Metrics Run::run() {
  scheduleArrival();
  Events.at(FaultAt, [this] { injectFault(); });
  Events.runUntil(RunLength);
  Metrics metrics;
  for (std::size_t n = SteadyCalls; n < SentToFailed.size(); ++n) {
    if (SentToFailed[n] - SentToFailed[n - SteadyCalls] <= SteadyWindow)
      metrics.SecondsToLastCall =
          static_cast<double>((SentToFailed[n] - FaultAt).count()) / 1000;
  }
  metrics.P99 = quantile(FirstTokenMillis, 0.99);
  metrics.Unanswered = 1 - Answered / std::max(1.0, Calls);
  metrics.CallsToFailed = static_cast<double>(SentToFailed.size());
  metrics.Hedged = Hedged / std::max(1.0, Calls);
  return metrics;
}

void Run::injectFault() {
  switch (InjectedFault) {
  case Fault::DomainLost:
    Fleet.failDomain(0);
    break;
  case Fault::RunnerFrozen:
    Fleet.runner(0).freeze();
    break;
  case Fault::RunnerSlow:
    Fleet.runner(0).slowDown(SlowFactor);
    break;
  }
}

bool Run::isFailed(std::size_t runner) const {
  if (InjectedFault == Fault::DomainLost)
    return runner % Fleet.settings().Domains == 0;
  return runner == 0;
}

bool Run::isAfterFault(core::Millis at) const {
  return at >= FaultAt && at <= RunLength - Deadline;
}

void Run::scheduleArrival() {
  const double gap = drawInterarrivalMillis(Generator, RequestsPerSecond);
  Events.after(core::Millis(std::llround(gap)), [this] {
    arrive();
    scheduleArrival();
  });
}

void Run::arrive() {
  auto call = std::make_shared<Call>();
  call->Entry = core::uniformIndex(Generator, Entries.size());
  call->Context.PromptTokens = PromptTokens;
  call->ArrivedAt = Events.now();
  Calls += isAfterFault(call->ArrivedAt);
  Entries[call->Entry]->Budget.onFirstAttempt();
  send(call);
  if (TestedPolicy.Hedges)
    scheduleHedgeCheck(call);
}

std::optional<std::size_t> Run::pick(Entry &entry, const Call &call) {
  if (!TestedPolicy.UsesChooser)
    return entry.NextRunner++ % Fleet.settings().Runners;
  auto views = Fleet.views(call.Entry);
  for (std::size_t n = 0; n < views.size(); ++n)
    views[n].SuspectedFailed = entry.Failures[n] >= FailuresUntilSuspected;
  const auto chosen =
      entry.Chooser.choose(call.Context, FakeFleet::version(), views,
                           call.TriedRunners, Events.now());
  if (!chosen)
    return std::nullopt;
  return FakeFleet::indexOf(*chosen);
}

void Run::send(const std::shared_ptr<Call> &call) {
  const auto runner = pick(*Entries[call->Entry], *call);
  if (!runner)
    return;
  call->TriedRunners.push_back(FakeFleet::idOf(*runner));
  if (isFailed(*runner) && Events.now() >= FaultAt)
    SentToFailed.push_back(Events.now());
  RunnerCall sent;
  sent.PromptTokens = PromptTokens;
  sent.AnswerTokens = AnswerTokens;
  sent.OnFirstToken = [this, call, runner = *runner,
                       sentAt = Events.now()](std::uint64_t cached) {
    onFirstToken(call, runner, sentAt, cached);
  };
  sent.OnEnd = [] {};
  Fleet.submit(call->Entry, *runner, std::move(sent));
  Events.after(CallTimeout,
               [this, call, runner = *runner] { onTimeout(call, runner); });
}

void Run::onFirstToken(const std::shared_ptr<Call> &call, std::size_t runner,
                       core::Millis sentAt, std::uint64_t cached) {
  Entry &entry = *Entries[call->Entry];
  const core::Millis elapsed = Events.now() - sentAt;
  entry.Failures[runner] = 0;
  entry.Hedges.observe(elapsed);
  entry.Chooser.observe(
      route::AnswerObservation{
          FakeFleet::idOf(runner), {}, PromptTokens, cached, elapsed, false},
      Events.now());
  if (call->Answered)
    return;
  call->Answered = true;
  if (!isAfterFault(call->ArrivedAt))
    return;
  const core::Millis seen = Events.now() - call->ArrivedAt;
  Answered += seen <= Deadline;
  FirstTokenMillis.push_back(static_cast<double>(seen.count()));
}

void Run::onTimeout(const std::shared_ptr<Call> &call, std::size_t runner) {
  if (call->Answered)
    return;
  Entry &entry = *Entries[call->Entry];
  ++entry.Failures[runner];
  entry.Chooser.observe(
      route::AnswerObservation{
          FakeFleet::idOf(runner), {}, PromptTokens, 0, CallTimeout, true},
      Events.now());
  if (Events.now() - call->ArrivedAt >= Deadline ||
      call->TriedRunners.size() >= MaxAttempts || !entry.Budget.tryAcquire())
    return;
  send(call);
}

void Run::scheduleHedgeCheck(const std::shared_ptr<Call> &call) {
  Events.after(HedgeCheckInterval, [this, call] {
    const core::Millis elapsed = Events.now() - call->ArrivedAt;
    if (call->Answered || call->Hedged || elapsed >= Deadline)
      return;
    Entry &entry = *Entries[call->Entry];
    const limits::PendingCall pending{true, false, false, elapsed,
                                      Deadline - elapsed};
    if (!entry.Hedges.shouldHedge(pending, entry.Budget)) {
      scheduleHedgeCheck(call);
      return;
    }
    call->Hedged = true;
    Hedged += isAfterFault(call->ArrivedAt);
    send(call);
  });
}

} // namespace cowslipridge::bench::pool_loss
