#include "cowslipridge/limits/Admission.hpp"

#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/limits/ConcurrencyLimit.hpp"
#include "cowslipridge/limits/FairQueue.hpp"
#include "cowslipridge/limits/RetryAfterSchedule.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace cowslipridge::limits {

namespace {

/// Share of the concurrency limit that deferrable work leaves free, so that
/// other requests start without queueing.
constexpr double HeadroomShare = 0.125;
/// Share of a request's slack that it may spend in the queue. Slack is the time
/// to its deadline minus its expected run time.
constexpr double UsableSlackShare = 0.5;
/// Time constant of the moving average of the idle share.
constexpr double IdleTimeConstantMillis = 10'000;
/// Lower bound of the idle share when the wait of deferrable work is predicted.
constexpr double MinIdleShare = 0.02;
/// Gain of the moving average behind `BaselineWork`.
constexpr double BaselineWorkGain = 0.01;
/// Number of first requests over which `BaselineWork` is a plain mean.
constexpr unsigned MinBaselineWorkSamples = 32;
/// Deferrable work is started at the latest this many expected run times before
/// its deadline, even when other requests are queued.
constexpr double DeferrableLeadFactor = 2;

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
    return static_cast<unsigned>(Immediate.size() + Deferred.size());
  }
  [[nodiscard]] unsigned limit() const { return Limit.current(); }
  [[nodiscard]] core::Millis predictedWait() const {
    return slotWait() + drainTime(Immediate.queuedWork());
  }

private:
  [[nodiscard]] core::Millis drainTime(double work) const;
  [[nodiscard]] core::Millis slotWait() const;
  [[nodiscard]] core::Millis runTime(const Arrival &arrival) const;
  [[nodiscard]] bool hasCapacityForDeferrable() const;
  [[nodiscard]] bool canFinish(const Arrival &arrival, core::Millis wait,
                               core::Millis now) const;
  [[nodiscard]] bool mayQueue(const Arrival &arrival, core::Millis wait,
                              core::Millis now) const;
  [[nodiscard]] bool isUrgent(const Arrival &arrival, core::Millis now) const;
  bool isTracked(const core::RequestId &request) const;
  Arrival withExpectedWork(Arrival arrival);
  void recordFinished(const Arrival &arrival, core::Millis elapsed, bool failed,
                      core::Millis now);

  void start(const Arrival &arrival, AdmissionActions &actions);
  void refuse(const Arrival &arrival, core::Errc reason, core::Millis now,
              AdmissionActions &actions);
  void enqueue(const Arrival &arrival, core::Millis now,
               AdmissionActions &actions);
  void startQueued(core::Millis now, AdmissionActions &actions);
  void startNextFrom(FairQueue &queue, core::Millis now,
                     AdmissionActions &actions);
  void promoteUrgent(core::Millis now);
  void measureIdle(core::Millis now);
  void refuseInfeasible(FairQueue &queue, core::Millis now,
                        AdmissionActions &actions);

  AdmissionSettings Settings;
  ConcurrencyLimit Limit;
  RetryAfterSchedule RetryAfters;
  core::Random Generator;
  FairQueue Immediate; ///< starts as soon as a slot is free
  FairQueue Deferred;  ///< waits for idle capacity
  std::map<core::RequestId, Arrival> Running;
  /// Moving average of the share of the limit that non-deferrable requests
  /// leave free.
  double IdleShare = 1;
  /// Mean run time of the first requests, later a moving average over requests
  /// that ran on a lightly loaded runner, in milliseconds. 0 if unknown.
  double BaselineWork = 0;
  unsigned BaselineWorkSamples = 0;
  /// Whether the expected work of the last arrival was estimated.
  bool LastWorkEstimated = false;
  core::Millis IdleMeasuredAt;
};

core::Millis Admission::State::drainTime(double work) const {
  return millisOf(work * Limit.slowdown() / Limit.current());
}

/// Returns the expected time until a running request ends and frees a slot;
/// zero if a slot is free.
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

bool Admission::State::hasCapacityForDeferrable() const {
  const unsigned limit = Limit.current();
  const auto headroom = static_cast<unsigned>(limit * HeadroomShare);
  return Immediate.empty() && Running.size() + headroom < limit;
}

bool Admission::State::canFinish(const Arrival &arrival, core::Millis wait,
                                 core::Millis now) const {
  if (now >= arrival.Deadline)
    return false;
  // An idle runner starts the request anyway, because the predicted run time
  // may be too pessimistic.
  if (Running.empty() && wait == core::Millis(0))
    return true;
  return now + wait + runTime(arrival) <= arrival.Deadline;
}

/// Returns whether a request may be queued that would wait this long. Part of
/// its slack is reserved for requests that arrive later but start earlier.
bool Admission::State::mayQueue(const Arrival &arrival, core::Millis wait,
                                core::Millis now) const {
  const core::Millis slack = arrival.Deadline - now - runTime(arrival);
  return static_cast<double>(wait.count()) <=
         UsableSlackShare * static_cast<double>(slack.count());
}

bool Admission::State::isUrgent(const Arrival &arrival,
                                core::Millis now) const {
  const core::Millis lead =
      millisOf(workOf(arrival) * Limit.slowdown() * DeferrableLeadFactor);
  const core::Millis wait = predictedWait() + drainTime(Deferred.queuedWork());
  return now + lead + wait >= arrival.Deadline;
}

bool Admission::State::isTracked(const core::RequestId &request) const {
  return Running.contains(request) || Immediate.contains(request) ||
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
      RetryAfters.next(predictedWait(), serviceTime, now, Generator);
  actions.emplace_back(RefuseRequest{arrival.Request, reason, after});
}

void Admission::State::enqueue(const Arrival &arrival, core::Millis now,
                               AdmissionActions &actions) {
  FairQueue &queue = arrival.Deferrable ? Deferred : Immediate;
  double ahead = queue.workAhead(arrival);
  if (arrival.Deferrable)
    ahead /= std::max(MinIdleShare, IdleShare);
  const core::Millis wait = slotWait() + drainTime(ahead);
  if (!mayQueue(arrival, wait, now) || Settings.MaxQueue == 0) {
    refuse(arrival, core::Errc::Overloaded, now, actions);
    return;
  }
  queue.push(arrival);
  if (queue.size() <= Settings.MaxQueue) {
    actions.emplace_back(QueueRequest{arrival.Request});
    return;
  }
  const Arrival shed = *queue.popToShed();
  if (shed.Request != arrival.Request)
    actions.emplace_back(QueueRequest{arrival.Request});
  refuse(shed, core::Errc::Overloaded, now, actions);
}

AdmissionActions Admission::State::arrive(const Arrival &received,
                                          core::Millis now) {
  AdmissionActions actions;
  const Arrival arrival = withExpectedWork(received);
  if (isTracked(arrival.Request)) {
    refuse(arrival, core::Errc::DuplicateInProgress, now, actions);
    return actions;
  }
  if (now >= arrival.Deadline) {
    refuse(arrival, core::Errc::DeadlineExceeded, now, actions);
    return actions;
  }
  startQueued(now, actions);
  const bool hasCapacity = arrival.Deferrable
                               ? Deferred.empty() && hasCapacityForDeferrable()
                               : Immediate.empty() && inFlight() < limit();
  if (hasCapacity && canFinish(arrival, core::Millis(0), now)) {
    (arrival.Deferrable ? Deferred : Immediate).charge(arrival);
    start(arrival, actions);
    return actions;
  }
  enqueue(arrival, now, actions);
  startQueued(now, actions);
  return actions;
}

void Admission::State::startNextFrom(FairQueue &queue, core::Millis now,
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
    Immediate.push(arrival);
}

void Admission::State::startQueued(core::Millis now,
                                   AdmissionActions &actions) {
  promoteUrgent(now);
  while (inFlight() < limit() && !Immediate.empty())
    startNextFrom(Immediate, now, actions);
  while (hasCapacityForDeferrable() && !Deferred.empty())
    startNextFrom(Deferred, now, actions);
}

Arrival Admission::State::withExpectedWork(Arrival arrival) {
  LastWorkEstimated = arrival.ExpectedWork <= core::Millis(0);
  if (!LastWorkEstimated)
    return arrival;
  arrival.ExpectedWork = millisOf(BaselineWork);
  return arrival;
}

void Admission::State::recordFinished(const Arrival &arrival,
                                      core::Millis elapsed, bool failed,
                                      core::Millis now) {
  if (!LastWorkEstimated || BaselineWorkSamples == MinBaselineWorkSamples)
    Limit.onFinish(
        {elapsed, arrival.ExpectedWork, inFlight(), failed, LastWorkEstimated},
        now);
  const auto took = static_cast<double>(elapsed.count());
  if (failed)
    return;
  // The first requests to finish are the short ones, so a plain mean over
  // several is taken first. Its scale matters little, because the concurrency
  // limit compares ratios.
  if (BaselineWorkSamples < MinBaselineWorkSamples)
    BaselineWork += (took - BaselineWork) / ++BaselineWorkSamples;
  else if (Limit.isLightlyLoaded(inFlight()))
    BaselineWork += BaselineWorkGain * (took - BaselineWork);
}

AdmissionActions Admission::State::finish(const core::RequestId &request,
                                          core::Millis elapsed, bool failed,
                                          core::Millis now) {
  AdmissionActions actions;
  const auto it = Running.find(request);
  if (it == Running.end())
    return actions;
  recordFinished(it->second, elapsed, failed, now);
  Running.erase(it);
  startQueued(now, actions);
  return actions;
}

AdmissionActions Admission::State::cancel(const core::RequestId &request,
                                          core::Millis now) {
  AdmissionActions actions;
  if (Running.erase(request) == 0 && !Immediate.remove(request))
    Deferred.remove(request);
  startQueued(now, actions);
  return actions;
}

void Admission::State::refuseInfeasible(FairQueue &queue, core::Millis now,
                                        AdmissionActions &actions) {
  const auto infeasible = queue.removeIf(
      [&](const Arrival &it) { return !canFinish(it, core::Millis(0), now); });
  for (const Arrival &arrival : infeasible)
    refuse(arrival, core::Errc::DeadlineExceeded, now, actions);
}

void Admission::State::measureIdle(core::Millis now) {
  const auto isImmediate = [](const auto &entry) {
    return !entry.second.Deferrable;
  };
  const auto immediate = static_cast<double>(
      std::count_if(Running.begin(), Running.end(), isImmediate));
  const double idle = std::max(0.0, 1 - immediate / Limit.current());
  const auto elapsed = static_cast<double>((now - IdleMeasuredAt).count());
  IdleMeasuredAt = now;
  IdleShare +=
      (1 - std::exp(-elapsed / IdleTimeConstantMillis)) * (idle - IdleShare);
}

AdmissionActions Admission::State::tick(core::Millis now) {
  AdmissionActions actions;
  measureIdle(now);
  startQueued(now, actions);
  refuseInfeasible(Immediate, now, actions);
  refuseInfeasible(Deferred, now, actions);
  return actions;
}

AdmissionActions Admission::State::refuseQueued(core::Errc reason,
                                                core::Millis now) {
  AdmissionActions actions;
  const auto all = [](const Arrival &) { return true; };
  for (FairQueue *queue : {&Immediate, &Deferred}) {
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
