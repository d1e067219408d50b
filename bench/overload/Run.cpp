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
constexpr double InteractiveWorkMillis = 800;
constexpr double DraftWorkMillis = 3'000;
constexpr double WorkSigma = 0.5;
constexpr double PredictionSigma = 0.2;
constexpr core::Millis InteractiveDeadline{8'000};
constexpr core::Millis DraftDeadline{40'000};
constexpr unsigned MaxAttempts = 3;
constexpr core::Millis WarmUp{15'000};
constexpr core::Millis TickInterval{50};
/// Speed of the runners during the brown-out, relative to normal.
constexpr double BrownOutSpeed = 0.3;
constexpr std::size_t RecoveryWindowSeconds = 5;
/// Share of the requests served in time from which the fleet has recovered.
constexpr double RecoveredShare = 0.95;
constexpr double FleetWorkPerMilli = Runners * Capacity;

/// Returns the ratio of mean to median of the log-normal work times.
double meanFactor() { return std::exp(WorkSigma * WorkSigma / 2); }

std::size_t secondOf(core::Millis at) {
  return static_cast<std::size_t>(at.count() / 1000);
}

} // namespace

Run::Run(const Workload &workload, Policy policy, std::uint64_t seed)
    : TestedWorkload(workload), TestedPolicy(policy), Generator(seed),
      Budget({0.1, 20}), OfferedBySecond(secondOf(workload.Length) + 1),
      ServedBySecond(secondOf(workload.Length) + 1) {
  for (std::size_t n = 0; n < Runners; ++n) {
    Controllers.push_back(makeController(policy, seed * 10 + n));
    Servers.push_back(std::make_unique<Server>(
        Events, Capacity,
        [this, n](const core::RequestId &request) { onEnd(n, request); }));
  }
}

Metrics Run::run() {
  scheduleCaller(false);
  if (TestedWorkload.DraftShare > 0)
    scheduleCaller(true);
  scheduleTick();
  if (TestedWorkload.BrownOutAt > core::Millis(0)) {
    for (const auto &server : Servers) {
      Events.at(TestedWorkload.BrownOutAt,
                [&] { server->setSpeed(BrownOutSpeed); });
      Events.at(TestedWorkload.BrownOutAt + TestedWorkload.BrownOutLength,
                [&] { server->setSpeed(1); });
    }
  }
  Events.runUntil(TestedWorkload.Length);
  const auto measured =
      static_cast<double>((TestedWorkload.Length - WarmUp).count());
  return {UsefulWork / measured / FleetWorkPerMilli,
          OthersServedWork / std::max(1.0, OthersOfferedWork),
          FloodServedWork / std::max(1.0, FloodServedWork + OthersServedWork),
          DraftsCompleted / std::max(1.0, DraftsAccepted),
          quantile(RefusalTimes, 0.95),
          quantile(DraftRefusalTimes, 0.95),
          DelayedRetriesAccepted / std::max(1.0, DelayedRetries),
          recoverySeconds(),
          InFlightTicks / std::max(1.0, Ticks),
          WastedWork / measured / FleetWorkPerMilli};
}

bool Run::isMeasured(core::Millis at) const { return at >= WarmUp; }

void Run::scheduleTick() {
  Events.after(TickInterval, [this] {
    sampleInFlight();
    for (std::size_t n = 0; n < Runners; ++n)
      apply(n, tick(Controllers[n], Events.now()));
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
  const double share =
      draft ? TestedWorkload.DraftShare : 1 - TestedWorkload.DraftShare;
  const double work =
      (draft ? DraftWorkMillis : InteractiveWorkMillis) * meanFactor();
  const double perSecond =
      1000 * TestedWorkload.Load * share * FleetWorkPerMilli / work;
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
      core::uniform(Generator) < TestedWorkload.FloodShare
          ? 0
          : 1 + core::uniformIndex(Generator, Organisations - 1);
  caller->Work = drawLogNormalMillis(
      Generator, draft ? DraftWorkMillis : InteractiveWorkMillis, WorkSigma);
  caller->FirstAt = Events.now();
  limits::Arrival &arrival = caller->Arrival;
  arrival.Organisation =
      core::OrganisationId("org" + std::to_string(caller->Organisation));
  arrival.ExpectedWork = core::Millis(std::llround(
      drawLogNormalMillis(Generator, caller->Work, PredictionSigma)));
  if (TestedWorkload.WorkUnknown)
    arrival.ExpectedWork = core::Millis(0);
  arrival.Deferrable = draft;
  if (!isMeasured(Events.now()))
    return caller;
  OfferedBySecond[secondOf(Events.now())] += draft ? 0 : 1;
  if (!draft && caller->Organisation != 0)
    OthersOfferedWork += caller->Work;
  return caller;
}

std::size_t Run::pickRunner() {
  // Power of two choices, the minimum that an entry with a stale view does.
  const std::size_t a = core::uniformIndex(Generator, Runners);
  const std::size_t b = core::uniformIndex(Generator, Runners);
  return loadOf(Controllers[a], Events.now()) <=
                 loadOf(Controllers[b], Events.now())
             ? a
             : b;
}

void Run::attempt(const std::shared_ptr<Caller> &caller) {
  ++caller->Attempts;
  limits::Arrival arrival = caller->Arrival;
  arrival.Request = core::RequestId("r" + std::to_string(++LastRequest));
  arrival.Deadline =
      Events.now() + (arrival.Deferrable ? DraftDeadline : InteractiveDeadline);
  Attempt created;
  created.Owner = caller;
  created.Runner = pickRunner();
  created.ArrivedAt = Events.now();
  created.Deadline = arrival.Deadline;
  Attempts[arrival.Request] = created;
  Events.at(arrival.Deadline,
            [this, request = arrival.Request] { onDeadline(request); });
  apply(created.Runner,
        arrive(Controllers[created.Runner], arrival, Events.now()));
}

void Run::apply(std::size_t /*runner*/,
                const limits::AdmissionActions &actions) {
  for (const auto &action : actions) {
    std::visit(
        core::Overloaded{
            [this](const limits::StartRequest &it) { onStart(it.Request); },
            [this](const limits::QueueRequest &it) {
              Attempt &current = Attempts.at(it.Request);
              DelayedRetriesAccepted += current.Owner->DelayedRetry;
              current.Owner->DelayedRetry = false;
            },
            [this](const limits::RefuseRequest &it) { onRefuse(it); }},
        action);
  }
}

/// Excludes drafts whose deadline lies after the end of the run.
bool Run::isCountedDraft(const Attempt &attempt) const {
  return attempt.Owner->Arrival.Deferrable && isMeasured(attempt.ArrivedAt) &&
         attempt.Deadline <= TestedWorkload.Length;
}

void Run::countAccepted(Attempt &attempt) {
  if (attempt.Accepted)
    return;
  attempt.Accepted = true;
  DraftsAccepted += isCountedDraft(attempt);
  DelayedRetriesAccepted += attempt.Owner->DelayedRetry;
  attempt.Owner->DelayedRetry = false;
}

void Run::onStart(const core::RequestId &request) {
  Attempt &current = Attempts.at(request);
  current.Started = true;
  current.StartedAt = Events.now();
  countAccepted(current);
  Servers[current.Runner]->start(request, current.Owner->Work);
}

void Run::onRefuse(const limits::RefuseRequest &refusal) {
  const Attempt current = Attempts.at(refusal.Request);
  Attempts.erase(refusal.Request);
  current.Owner->DelayedRetry = false;
  if (isMeasured(current.ArrivedAt))
    (current.Owner->Arrival.Deferrable ? DraftRefusalTimes : RefusalTimes)
        .push_back(
            static_cast<double>((Events.now() - current.ArrivedAt).count()));
  // The entry retries on another runner at once, within its retry budget. The
  // baselines have no retry budget.
  const bool retries = TestedPolicy != Policy::Admission || Budget.tryAcquire();
  if (retries && current.Owner->Attempts < MaxAttempts)
    Events.after(core::Millis(1),
                 [this, caller = current.Owner] { attempt(caller); });
  else
    retryAfterDelay(current.Owner, refusal.RetryAfter);
}

void Run::retryAfterDelay(const std::shared_ptr<Caller> &caller,
                          core::Millis after) {
  if (caller->Attempts >= MaxAttempts)
    return;
  DelayedRetries += isMeasured(Events.now());
  Events.after(after, [this, caller] {
    caller->DelayedRetry = isMeasured(Events.now());
    attempt(caller);
  });
}

void Run::onEnd(std::size_t runner, const core::RequestId &request) {
  const Attempt current = Attempts.at(request);
  Attempts.erase(request);
  if (!current.TimedOut && Events.now() <= current.Deadline &&
      isMeasured(Events.now())) {
    const Caller &caller = *current.Owner;
    UsefulWork += caller.Work;
    if (caller.Arrival.Deferrable)
      DraftsCompleted += isCountedDraft(current);
    else if (caller.Organisation == 0)
      FloodServedWork += caller.Work;
    else
      OthersServedWork += caller.Work;
    if (!caller.Arrival.Deferrable && isMeasured(caller.FirstAt))
      ServedBySecond[secondOf(caller.FirstAt)] += 1;
  } else if (isMeasured(Events.now())) {
    WastedWork += current.Owner->Work;
  }
  const core::Millis elapsed = Events.now() - current.StartedAt;
  apply(runner, finish(Controllers[runner], request, elapsed, Events.now()));
}

void Run::onDeadline(const core::RequestId &request) {
  const auto it = Attempts.find(request);
  if (it == Attempts.end())
    return;
  it->second.TimedOut = true;
  const Attempt current = it->second;
  if (TestedPolicy == Policy::Admission) {
    if (current.Started)
      WastedWork +=
          Servers[current.Runner]->stop(request, current.Owner->Work) *
          isMeasured(Events.now());
    Attempts.erase(request);
    apply(current.Runner,
          cancel(Controllers[current.Runner], request, Events.now()));
  }
  if (!current.Owner->Arrival.Deferrable &&
      current.Owner->Attempts < MaxAttempts)
    attempt(current.Owner);
}

/// Returns the seconds from the end of the brown-out until nearly all
/// interactive requests that arrive are served in time.
double Run::recoverySeconds() const {
  if (TestedWorkload.BrownOutAt == core::Millis(0))
    return 0;
  const std::size_t end =
      secondOf(TestedWorkload.BrownOutAt + TestedWorkload.BrownOutLength);
  std::size_t second = end;
  while (second + RecoveryWindowSeconds < OfferedBySecond.size()) {
    double offered = 0;
    double served = 0;
    for (std::size_t n = second; n < second + RecoveryWindowSeconds; ++n) {
      offered += OfferedBySecond[n];
      served += ServedBySecond[n];
    }
    if (served >= RecoveredShare * offered)
      break;
    ++second;
  }
  return static_cast<double>(second - end);
}

} // namespace cowslipridge::bench::overload
