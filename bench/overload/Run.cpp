#include "overload/Run.hpp"

#include "cowslipridge/core/Visit.hpp"
#include "support/Statistics.hpp"

#include <algorithm>
#include <cmath>

namespace cowslipridge::bench::overload {

namespace {

constexpr std::size_t Runners = 4;
constexpr unsigned Capacity = 8; ///< calls at full speed, per runner
constexpr std::size_t Organisations = 4;
constexpr double PromptWorkMillis = 800;
constexpr double DraftWorkMillis = 3'000;
constexpr double WorkSigma = 0.5;
constexpr double PredictionSigma = 0.2;
constexpr core::Millis PromptDeadline{8'000};
constexpr core::Millis DraftDeadline{40'000};
constexpr unsigned MaxAttempts = 3;
constexpr core::Millis WarmUp{15'000};
constexpr core::Millis TickInterval{50};
constexpr double BrownOutSpeed = 0.3;
constexpr std::size_t RecoveryWindowSeconds = 5;
constexpr double RecoveredShare = 0.95;
constexpr double FleetWorkPerMilli = Runners * Capacity;

/// Mean of a log-normal time over its median.
double meanFactor() { return std::exp(WorkSigma * WorkSigma / 2); }

std::size_t secondOf(core::Millis at) {
  return static_cast<std::size_t>(at.count() / 1000);
}

} // namespace

Run::Run(const Shape &shape, Policy policy, std::uint64_t seed)
    : Driven(shape), Tested(policy), Generator(seed), Budget({0.1, 20}),
      WantedBySecond(secondOf(shape.Length) + 1),
      DoneBySecond(secondOf(shape.Length) + 1) {
  for (std::size_t n = 0; n < Runners; ++n) {
    Gates.push_back(makeGate(policy, seed * 10 + n));
    Servers.push_back(std::make_unique<Server>(
        Events, Capacity,
        [this, n](const core::RequestId &request) { onEnd(n, request); }));
  }
}

Figures Run::run() {
  scheduleCaller(false);
  if (Driven.DraftShare > 0)
    scheduleCaller(true);
  scheduleTick();
  if (Driven.BrownOutAt > core::Millis(0)) {
    for (const auto &server : Servers) {
      Events.at(Driven.BrownOutAt, [&] { server->setSpeed(BrownOutSpeed); });
      Events.at(Driven.BrownOutAt + Driven.BrownOutLength,
                [&] { server->setSpeed(1); });
    }
  }
  Events.runUntil(Driven.Length);
  const auto measured = static_cast<double>((Driven.Length - WarmUp).count());
  return {UsefulWork / measured / FleetWorkPerMilli,
          OthersDone / std::max(1.0, OthersWanted),
          FloodDone / std::max(1.0, FloodDone + OthersDone),
          DraftsDone / std::max(1.0, Drafts),
          quantile(RefusalTimes, 0.95),
          quantile(DraftRefusalTimes, 0.95),
          ReturnsTaken / std::max(1.0, Returns),
          recoverySeconds(),
          InFlightTicks / std::max(1.0, Ticks),
          WastedWork / measured / FleetWorkPerMilli};
}

bool Run::isMeasured(core::Millis at) const { return at >= WarmUp; }

void Run::scheduleTick() {
  Events.after(TickInterval, [this] {
    sampleInFlight();
    for (std::size_t n = 0; n < Runners; ++n)
      apply(n, tick(Gates[n], Events.now()));
    scheduleTick();
  });
}

void Run::sampleInFlight() {
  for (const auto &server : Servers) {
    InFlightTicks += static_cast<double>(server->inFlight());
    Ticks += 1;
  }
}

void Run::scheduleCaller(bool draft) {
  const double share = draft ? Driven.DraftShare : 1 - Driven.DraftShare;
  const double work =
      (draft ? DraftWorkMillis : PromptWorkMillis) * meanFactor();
  const double perSecond =
      1000 * Driven.Load * share * FleetWorkPerMilli / work;
  const double gap = drawInterarrivalMillis(Generator, perSecond);
  Events.after(core::Millis(std::llround(gap)), [this, draft] {
    Budget.onFirstAttempt();
    attempt(drawCaller(draft));
    scheduleCaller(draft);
  });
}

std::shared_ptr<Run::Caller> Run::drawCaller(bool draft) {
  auto caller = std::make_shared<Caller>();
  caller->Organisation =
      core::uniform(Generator) < Driven.FloodShare
          ? 0
          : 1 + core::uniformIndex(Generator, Organisations - 1);
  caller->Work = drawLogNormalMillis(
      Generator, draft ? DraftWorkMillis : PromptWorkMillis, WorkSigma);
  caller->FirstAt = Events.now();
  limits::Arrival &wish = caller->Wish;
  wish.Organisation =
      core::OrganisationId("org" + std::to_string(caller->Organisation));
  wish.ExpectedWork = core::Millis(std::llround(
      drawLogNormalMillis(Generator, caller->Work, PredictionSigma)));
  if (Driven.WorkUnknown)
    wish.ExpectedWork = core::Millis(0);
  wish.Deferrable = draft;
  if (!isMeasured(Events.now()))
    return caller;
  WantedBySecond[secondOf(Events.now())] += draft ? 0 : 1;
  if (!draft && caller->Organisation != 0)
    OthersWanted += caller->Work;
  return caller;
}

std::size_t Run::pickRunner() {
  // Two random choices, as an entry with a stale view would do at the least.
  const std::size_t a = core::uniformIndex(Generator, Runners);
  const std::size_t b = core::uniformIndex(Generator, Runners);
  return loadOf(Gates[a], Events.now()) <= loadOf(Gates[b], Events.now()) ? a
                                                                          : b;
}

void Run::attempt(const std::shared_ptr<Caller> &caller) {
  ++caller->Attempts;
  limits::Arrival arrival = caller->Wish;
  arrival.Request = core::RequestId("r" + std::to_string(++Drawn));
  arrival.Deadline =
      Events.now() + (arrival.Deferrable ? DraftDeadline : PromptDeadline);
  Attempt made;
  made.Owner = caller;
  made.Runner = pickRunner();
  made.ArrivedAt = Events.now();
  made.Deadline = arrival.Deadline;
  Attempts[arrival.Request] = made;
  Events.at(arrival.Deadline,
            [this, request = arrival.Request] { onDeadline(request); });
  apply(made.Runner, arrive(Gates[made.Runner], arrival, Events.now()));
}

void Run::apply(std::size_t /*runner*/,
                const limits::AdmissionActions &actions) {
  for (const auto &action : actions) {
    std::visit(
        core::Overloaded{
            [this](const limits::StartRequest &it) { onStart(it.Request); },
            [this](const limits::QueueRequest &it) {
              Attempt &own = Attempts.at(it.Request);
              ReturnsTaken += own.Owner->Returned;
              own.Owner->Returned = false;
            },
            [this](const limits::RefuseRequest &it) { onRefuse(it); }},
        action);
  }
}

/// Drafts whose deadline lies after the end of the run are left out.
bool Run::isCountedDraft(const Attempt &attempt) const {
  return attempt.Owner->Wish.Deferrable && isMeasured(attempt.ArrivedAt) &&
         attempt.Deadline <= Driven.Length;
}

void Run::countTaken(Attempt &attempt) {
  if (attempt.Taken)
    return;
  attempt.Taken = true;
  Drafts += isCountedDraft(attempt);
  ReturnsTaken += attempt.Owner->Returned;
  attempt.Owner->Returned = false;
}

void Run::onStart(const core::RequestId &request) {
  Attempt &own = Attempts.at(request);
  own.Started = true;
  own.StartedAt = Events.now();
  countTaken(own);
  Servers[own.Runner]->start(request, own.Owner->Work);
}

void Run::onRefuse(const limits::RefuseRequest &refusal) {
  const Attempt own = Attempts.at(refusal.Request);
  Attempts.erase(refusal.Request);
  own.Owner->Returned = false;
  if (isMeasured(own.ArrivedAt))
    (own.Owner->Wish.Deferrable ? DraftRefusalTimes : RefusalTimes)
        .push_back(static_cast<double>((Events.now() - own.ArrivedAt).count()));
  // The entry tries another runner at once, within its retry budget.
  const bool retries = Tested != Policy::Admission || Budget.tryAcquire();
  if (retries && own.Owner->Attempts < MaxAttempts)
    Events.after(core::Millis(1),
                 [this, caller = own.Owner] { attempt(caller); });
  else
    comeBack(own.Owner, refusal.RetryAfter);
}

void Run::comeBack(const std::shared_ptr<Caller> &caller, core::Millis after) {
  if (caller->Attempts >= MaxAttempts)
    return;
  Returns += isMeasured(Events.now());
  Events.after(after, [this, caller] {
    caller->Returned = isMeasured(Events.now());
    attempt(caller);
  });
}

void Run::onEnd(std::size_t runner, const core::RequestId &request) {
  const Attempt own = Attempts.at(request);
  Attempts.erase(request);
  if (!own.GaveUp && Events.now() <= own.Deadline && isMeasured(Events.now())) {
    const Caller &caller = *own.Owner;
    UsefulWork += caller.Work;
    if (caller.Wish.Deferrable)
      DraftsDone += isCountedDraft(own);
    else if (caller.Organisation == 0)
      FloodDone += caller.Work;
    else
      OthersDone += caller.Work;
    if (!caller.Wish.Deferrable && isMeasured(caller.FirstAt))
      DoneBySecond[secondOf(caller.FirstAt)] += 1;
  } else if (isMeasured(Events.now())) {
    WastedWork += own.Owner->Work;
  }
  const core::Millis elapsed = Events.now() - own.StartedAt;
  apply(runner, finish(Gates[runner], request, elapsed, Events.now()));
}

void Run::onDeadline(const core::RequestId &request) {
  const auto it = Attempts.find(request);
  if (it == Attempts.end())
    return;
  it->second.GaveUp = true;
  const Attempt own = it->second;
  if (Tested == Policy::Admission) {
    if (own.Started)
      WastedWork += Servers[own.Runner]->stop(request, own.Owner->Work) *
                    isMeasured(Events.now());
    Attempts.erase(request);
    apply(own.Runner, cancel(Gates[own.Runner], request, Events.now()));
  }
  if (!own.Owner->Wish.Deferrable && own.Owner->Attempts < MaxAttempts)
    attempt(own.Owner);
}

/// Seconds after the brown-out from which callers that arrive are served.
double Run::recoverySeconds() const {
  if (Driven.BrownOutAt == core::Millis(0))
    return 0;
  const std::size_t end = secondOf(Driven.BrownOutAt + Driven.BrownOutLength);
  std::size_t second = end;
  while (second + RecoveryWindowSeconds < WantedBySecond.size()) {
    double wanted = 0;
    double done = 0;
    for (std::size_t n = second; n < second + RecoveryWindowSeconds; ++n) {
      wanted += WantedBySecond[n];
      done += DoneBySecond[n];
    }
    if (done >= RecoveredShare * wanted)
      break;
    ++second;
  }
  return static_cast<double>(second - end);
}

} // namespace cowslipridge::bench::overload
