#include "cowslipridge/limits/Admission.hpp"

#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/limits/ConcurrencyLimit.hpp"
#include "cowslipridge/limits/FairQueue.hpp"
#include "cowslipridge/limits/ReturnSchedule.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace cowslipridge::limits {

namespace {

/// Part of the limit kept free of deferrable work, so that other work finds
/// room at once.
constexpr double HeadroomShare = 0.125;
/// Part of a request's slack that the queue may use up.
constexpr double UsableSlack = 0.5;
/// Time over which the idle part of the capacity is averaged.
constexpr double IdleMemoryMillis = 10'000;
constexpr double MinIdleShare = 0.02;
constexpr double UsualWorkGain = 0.01;
constexpr unsigned MinUsualWorkSamples = 32;
/// Deferrable work starts this many expected times before its deadline at the
/// latest, even when other work waits.
constexpr double DeferrableLead = 2;

double workOf(const Arrival &arrival) {
  return std::max(1.0, static_cast<double>(arrival.ExpectedWork.count()));
}

core::Millis millisOf(double length) {
  return core::Millis(static_cast<std::int64_t>(std::ceil(length)));
}

} // namespace

class Admission::State {
public:
  State(AdmissionSettings settings, std::uint64_t seed)
      : Settings(settings),
        Limit({settings.MinConcurrency, settings.MaxConcurrency}),
        Generator(seed) {}

  void reconfigure(const AdmissionSettings &settings);
  AdmissionActions arrive(const Arrival &arrival, core::Millis now);
  AdmissionActions finish(const core::RequestId &request, core::Millis elapsed,
                          bool failed, core::Millis now);
  AdmissionActions cancel(const core::RequestId &request, core::Millis now);
  AdmissionActions tick(core::Millis now);
  AdmissionActions refuseQueued(core::Errc reason, core::Millis now);

  [[nodiscard]] unsigned inFlight() const {
    return static_cast<unsigned>(Running.size());
  }
  [[nodiscard]] unsigned queued() const {
    return static_cast<unsigned>(Prompt.size() + Deferred.size());
  }
  [[nodiscard]] unsigned limit() const { return Limit.current(); }
  [[nodiscard]] core::Millis predictedWait() const {
    return slotWait() + drainTime(Prompt.waitingWork());
  }

private:
  [[nodiscard]] core::Millis drainTime(double work) const;
  [[nodiscard]] core::Millis slotWait() const;
  [[nodiscard]] core::Millis runTime(const Arrival &arrival) const;
  [[nodiscard]] bool hasRoomForDeferrable() const;
  [[nodiscard]] bool canFinish(const Arrival &arrival, core::Millis wait,
                               core::Millis now) const;
  [[nodiscard]] bool mayWait(const Arrival &arrival, core::Millis wait,
                             core::Millis now) const;
  [[nodiscard]] bool isUrgent(const Arrival &arrival, core::Millis now) const;
  bool knows(const core::RequestId &request) const;
  Arrival withExpectedWork(Arrival arrival);
  void learn(const Arrival &arrival, core::Millis elapsed, bool failed,
             core::Millis now);

  void start(const Arrival &arrival, AdmissionActions &actions);
  void refuse(const Arrival &arrival, core::Errc reason, core::Millis now,
              AdmissionActions &actions);
  void enqueue(const Arrival &arrival, core::Millis now,
               AdmissionActions &actions);
  void startWaiting(core::Millis now, AdmissionActions &actions);
  void startFrom(FairQueue &queue, core::Millis now, AdmissionActions &actions);
  void promoteUrgent(core::Millis now);
  void measureIdle(core::Millis now);
  void refuseLate(FairQueue &queue, core::Millis now,
                  AdmissionActions &actions);

  AdmissionSettings Settings;
  ConcurrencyLimit Limit;
  ReturnSchedule Returns;
  core::Random Generator;
  FairQueue Prompt;   ///< starts as soon as its turn comes
  FairQueue Deferred; ///< waits for idle capacity
  std::map<core::RequestId, Arrival> Running;
  /// Part of the limit that prompt work has left free of late.
  double IdleShare = 1;
  /// Mean time of the first requests, then of those that ran nearly alone, in
  /// milliseconds; 0: unknown.
  double UsualWork = 0;
  unsigned UsualWorkSamples = 0;
  bool WorkIsEstimated = false; ///< of the last arrival
  core::Millis IdleMeasuredAt;
};

core::Millis Admission::State::drainTime(double work) const {
  return millisOf(work * Limit.slowdown() / Limit.current());
}

/// Expected time until a running request ends, when no slot is free.
core::Millis Admission::State::slotWait() const {
  if (Running.size() < Limit.current())
    return core::Millis(0);
  double work = 0;
  for (const auto &[request, arrival] : Running)
    work += workOf(arrival);
  const auto running = static_cast<double>(Running.size());
  return millisOf(work / running * Limit.slowdown() / running);
}

core::Millis Admission::State::runTime(const Arrival &arrival) const {
  return millisOf(workOf(arrival) * Limit.slowdown());
}

bool Admission::State::hasRoomForDeferrable() const {
  const unsigned limit = Limit.current();
  const auto headroom = static_cast<unsigned>(limit * HeadroomShare);
  return Prompt.empty() && Running.size() + headroom < limit;
}

bool Admission::State::canFinish(const Arrival &arrival, core::Millis wait,
                                 core::Millis now) const {
  if (now >= arrival.Deadline)
    return false;
  // An idle runner tries, because the prediction may be too pessimistic.
  if (Running.empty() && wait == core::Millis(0))
    return true;
  return now + wait + runTime(arrival) <= arrival.Deadline;
}

/// Whether a request that must wait this long may be queued. Part of its slack
/// is kept for requests that arrive later and go first.
bool Admission::State::mayWait(const Arrival &arrival, core::Millis wait,
                               core::Millis now) const {
  const core::Millis slack = arrival.Deadline - now - runTime(arrival);
  return static_cast<double>(wait.count()) <=
         UsableSlack * static_cast<double>(slack.count());
}

bool Admission::State::isUrgent(const Arrival &arrival,
                                core::Millis now) const {
  const core::Millis lead =
      millisOf(workOf(arrival) * Limit.slowdown() * DeferrableLead);
  const core::Millis wait = predictedWait() + drainTime(Deferred.waitingWork());
  return now + lead + wait >= arrival.Deadline;
}

bool Admission::State::knows(const core::RequestId &request) const {
  return Running.contains(request) || Prompt.contains(request) ||
         Deferred.contains(request);
}

void Admission::State::start(const Arrival &arrival,
                             AdmissionActions &actions) {
  Running.emplace(arrival.Request, arrival);
  actions.emplace_back(StartRequest{arrival.Request});
}

void Admission::State::refuse(const Arrival &arrival, core::Errc reason,
                              core::Millis now, AdmissionActions &actions) {
  const double serviceTime =
      workOf(arrival) * Limit.slowdown() / Limit.current();
  const core::Millis after =
      Returns.next(predictedWait(), serviceTime, now, Generator);
  actions.emplace_back(RefuseRequest{arrival.Request, reason, after});
}

void Admission::State::enqueue(const Arrival &arrival, core::Millis now,
                               AdmissionActions &actions) {
  FairQueue &queue = arrival.Deferrable ? Deferred : Prompt;
  double ahead = queue.workAhead(arrival);
  if (arrival.Deferrable)
    ahead /= std::max(MinIdleShare, IdleShare);
  const core::Millis wait = slotWait() + drainTime(ahead);
  if (!mayWait(arrival, wait, now) || Settings.MaxQueue == 0) {
    refuse(arrival, core::Errc::Overloaded, now, actions);
    return;
  }
  queue.push(arrival);
  if (queue.size() <= Settings.MaxQueue) {
    actions.emplace_back(QueueRequest{arrival.Request});
    return;
  }
  const Arrival shed = *queue.popLeastDeserving();
  if (shed.Request != arrival.Request)
    actions.emplace_back(QueueRequest{arrival.Request});
  refuse(shed, core::Errc::Overloaded, now, actions);
}

AdmissionActions Admission::State::arrive(const Arrival &asked,
                                          core::Millis now) {
  AdmissionActions actions;
  const Arrival arrival = withExpectedWork(asked);
  if (knows(arrival.Request)) {
    refuse(arrival, core::Errc::DuplicateInProgress, now, actions);
    return actions;
  }
  if (now >= arrival.Deadline) {
    refuse(arrival, core::Errc::DeadlineExceeded, now, actions);
    return actions;
  }
  startWaiting(now, actions);
  const bool hasRoom = arrival.Deferrable
                           ? Deferred.empty() && hasRoomForDeferrable()
                           : Prompt.empty() && inFlight() < limit();
  if (hasRoom && canFinish(arrival, core::Millis(0), now)) {
    (arrival.Deferrable ? Deferred : Prompt).charge(arrival);
    start(arrival, actions);
    return actions;
  }
  enqueue(arrival, now, actions);
  startWaiting(now, actions);
  return actions;
}

void Admission::State::startFrom(FairQueue &queue, core::Millis now,
                                 AdmissionActions &actions) {
  const std::optional<Arrival> next = queue.pop();
  if (!next)
    return;
  if (canFinish(*next, core::Millis(0), now))
    start(*next, actions);
  else
    refuse(*next, core::Errc::DeadlineExceeded, now, actions);
}

void Admission::State::promoteUrgent(core::Millis now) {
  for (const Arrival &arrival :
       Deferred.removeIf([&](const Arrival &it) { return isUrgent(it, now); }))
    Prompt.push(arrival);
}

void Admission::State::startWaiting(core::Millis now,
                                    AdmissionActions &actions) {
  promoteUrgent(now);
  while (inFlight() < limit() && !Prompt.empty())
    startFrom(Prompt, now, actions);
  while (hasRoomForDeferrable() && !Deferred.empty())
    startFrom(Deferred, now, actions);
}

Arrival Admission::State::withExpectedWork(Arrival arrival) {
  WorkIsEstimated = arrival.ExpectedWork <= core::Millis(0);
  if (!WorkIsEstimated)
    return arrival;
  arrival.ExpectedWork = millisOf(UsualWork);
  return arrival;
}

void Admission::State::learn(const Arrival &arrival, core::Millis elapsed,
                             bool failed, core::Millis now) {
  if (!WorkIsEstimated || UsualWorkSamples == MinUsualWorkSamples)
    Limit.onFinish(
        {elapsed, arrival.ExpectedWork, inFlight(), failed, WorkIsEstimated},
        now);
  const auto took = static_cast<double>(elapsed.count());
  if (failed)
    return;
  // The first to end are short ones, so the mean starts over several; its
  // scale matters little, because the limit compares ratios.
  if (UsualWorkSamples < MinUsualWorkSamples)
    UsualWork += (took - UsualWork) / ++UsualWorkSamples;
  else if (Limit.isNearlyAlone(inFlight()))
    UsualWork += UsualWorkGain * (took - UsualWork);
}

AdmissionActions Admission::State::finish(const core::RequestId &request,
                                          core::Millis elapsed, bool failed,
                                          core::Millis now) {
  AdmissionActions actions;
  const auto it = Running.find(request);
  if (it == Running.end())
    return actions;
  learn(it->second, elapsed, failed, now);
  Running.erase(it);
  startWaiting(now, actions);
  return actions;
}

AdmissionActions Admission::State::cancel(const core::RequestId &request,
                                          core::Millis now) {
  AdmissionActions actions;
  if (Running.erase(request) == 0 && !Prompt.remove(request))
    Deferred.remove(request);
  startWaiting(now, actions);
  return actions;
}

void Admission::State::refuseLate(FairQueue &queue, core::Millis now,
                                  AdmissionActions &actions) {
  const auto late = queue.removeIf(
      [&](const Arrival &it) { return !canFinish(it, core::Millis(0), now); });
  for (const Arrival &arrival : late)
    refuse(arrival, core::Errc::DeadlineExceeded, now, actions);
}

void Admission::State::measureIdle(core::Millis now) {
  const auto isPrompt = [](const auto &entry) {
    return !entry.second.Deferrable;
  };
  const auto prompt = static_cast<double>(
      std::count_if(Running.begin(), Running.end(), isPrompt));
  const double idle = std::max(0.0, 1 - prompt / Limit.current());
  const auto elapsed = static_cast<double>((now - IdleMeasuredAt).count());
  IdleMeasuredAt = now;
  IdleShare += (1 - std::exp(-elapsed / IdleMemoryMillis)) * (idle - IdleShare);
}

AdmissionActions Admission::State::tick(core::Millis now) {
  AdmissionActions actions;
  measureIdle(now);
  startWaiting(now, actions);
  refuseLate(Prompt, now, actions);
  refuseLate(Deferred, now, actions);
  return actions;
}

AdmissionActions Admission::State::refuseQueued(core::Errc reason,
                                                core::Millis now) {
  AdmissionActions actions;
  const auto all = [](const Arrival &) { return true; };
  for (FairQueue *queue : {&Prompt, &Deferred}) {
    for (const Arrival &arrival : queue->removeIf(all))
      refuse(arrival, reason, now, actions);
  }
  return actions;
}

Admission::Admission(AdmissionSettings settings, std::uint64_t seed)
    : Internals(std::make_unique<State>(settings, seed)) {}

Admission::~Admission() = default;

void Admission::State::reconfigure(const AdmissionSettings &settings) {
  const bool sameBounds = settings.MinConcurrency == Settings.MinConcurrency &&
                          settings.MaxConcurrency == Settings.MaxConcurrency;
  if (!sameBounds)
    Limit =
        ConcurrencyLimit({settings.MinConcurrency, settings.MaxConcurrency});
  Settings = settings;
}

void Admission::reconfigure(const AdmissionSettings &settings) {
  Internals->reconfigure(settings);
}

AdmissionActions Admission::arrive(const Arrival &arrival, core::Millis now) {
  return Internals->arrive(arrival, now);
}

AdmissionActions Admission::finish(const core::RequestId &request,
                                   core::Millis elapsed, bool failed,
                                   core::Millis now) {
  return Internals->finish(request, elapsed, failed, now);
}

AdmissionActions Admission::cancel(const core::RequestId &request,
                                   core::Millis now) {
  return Internals->cancel(request, now);
}

AdmissionActions Admission::tick(core::Millis now) {
  return Internals->tick(now);
}

AdmissionActions Admission::refuseQueued(core::Errc reason, core::Millis now) {
  return Internals->refuseQueued(reason, now);
}

unsigned Admission::inFlight() const { return Internals->inFlight(); }

unsigned Admission::queued() const { return Internals->queued(); }

unsigned Admission::concurrencyLimit() const { return Internals->limit(); }

core::Millis Admission::predictedWait(core::Millis /*now*/) const {
  return Internals->predictedWait();
}

} // namespace cowslipridge::limits
