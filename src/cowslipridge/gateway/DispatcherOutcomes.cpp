#include "cowslipridge/gateway/Dispatcher.hpp"

#include <algorithm>
#include <cmath>

// What attempts tell about their runners: responses, events of streams, ends.
namespace cowslipridge::gateway {

namespace {

constexpr int FirstErrorStatus = 400;
constexpr int MisdirectedRequest = 421;
/// Intervals between events from which the speed of a stream shows.
constexpr unsigned MinIntervals = 3;

} // namespace

void Dispatcher::onHead(std::uint64_t ticket,
                        const ResponseAttributes &response, core::Millis now) {
  const auto it = ActiveAttempts.find(ticket);
  if (it == ActiveAttempts.end())
    return;
  onNotices(it->second, response, now);
  if (response.Status != MisdirectedRequest)
    onResponsive(it->second, now);
  it->second.HasResponse = true;
  limits::RetryWindow &retries = budget(it->second.Service);
  retries.onSettled(ticket, now);
  retries.onResponse(it->second.Runner, it->second.SentAt, now);
  // A rejection or a failure says nothing about the time to the first token.
  const bool hasAnswer = !response.NotRun && response.Status < FirstErrorStatus;
  if (!hasAnswer)
    return;
  Crashes.onBegun(ticket, now);
  Rejections.onAccepted(it->second.Runner, now);
  onFirstByte(ticket, it->second, now);
}

void Dispatcher::onNotices(const ActiveAttempt &attempt,
                           const ResponseAttributes &response,
                           core::Millis now) {
  if (response.RunnerLeaving &&
      Servers.onLeaving(attempt.Runner, attempt.RunnerStartedAt, now))
    reportNotice(LeavingAnnounced{attempt.Runner});
  // A runner that has restarted since does not know of this response.
  const membership::BackendServer *server = Servers.find(attempt.Runner);
  if (server != nullptr && server->StartedAt != attempt.RunnerStartedAt)
    return;
  onRateLimit(attempt.Runner, response, now);
  if (!response.Backoff)
    return;
  if (const auto begun = Backoff.onRejected(
          attempt.Runner, attempt.RunnerStartedAt, *response.Backoff, now))
    reportNotice(*begun);
}

void Dispatcher::onRateLimit(const core::RunnerId &runner,
                             const ResponseAttributes &response,
                             core::Millis now) {
  // A response that does not come from the runner says nothing about its limit.
  if (!response.RateLimit && !response.Authentic)
    return;
  onStatement({runner, response.RateLimit}, now, now);
}

void Dispatcher::onStatement(const limits::RateLimitStatement &statement,
                             core::Millis at, core::Millis now) {
  if (RateLimits.onStatement(statement, at, now))
    reportNotice(statement);
}

void Dispatcher::reportNotice(const RunnerNotice &notice) {
  if (OnRunnerNotice)
    OnRunnerNotice(notice);
}

void Dispatcher::onFirstByte(std::uint64_t ticket, ActiveAttempt &attempt,
                             core::Millis now) {
  Forecast.onFirstToken(ticket, now);
  Order.onAnsweredOrEnded(ticket);
  if (attempt.Answered)
    return;
  attempt.Answered = true;
  if (!attempt.IsStream)
    return;
  rollout::AnswerCounts counts;
  counts.Timed = 1;
  const auto elapsed = static_cast<double>((now - attempt.SentAt).count()) + 1;
  const auto predicted = static_cast<double>(attempt.Predicted.count()) + 1;
  counts.LogSlowness = std::log(elapsed / predicted);
  Evidence.record(attempt.evidenceKey(), counts, now);
}

void Dispatcher::onEvents(std::uint64_t ticket, unsigned events,
                          core::Millis now) {
  Forecast.onStreamEvents(ticket, events, now);
  Crashes.onEvents(ticket, now);
  const auto it = ActiveAttempts.find(ticket);
  if (it == ActiveAttempts.end() || events == 0)
    return;
  ActiveAttempt &attempt = it->second;
  onResponsive(attempt, now);
  if (attempt.Events == 0) {
    attempt.FirstEvents = events;
    attempt.FirstEventAt = now;
  }
  attempt.Events += events;
  attempt.LastEventAt = now;
}

void Dispatcher::recordInterval(const ActiveAttempt &attempt,
                                rollout::AnswerCounts &counts) const {
  const unsigned intervals = attempt.Events - attempt.FirstEvents;
  if (intervals < MinIntervals)
    return;
  const auto elapsed =
      static_cast<double>((attempt.LastEventAt - attempt.FirstEventAt).count());
  counts.Intervals.add(
      std::max(attempt.OtherRequests, Forecast.load(attempt.Runner).requests()),
      elapsed / intervals);
}

void Dispatcher::onEnded(std::uint64_t ticket, AttemptOutcome outcome,
                         core::Millis now) {
  Forecast.onAttemptEnded(ticket);
  Order.onAnsweredOrEnded(ticket);
  Crashes.onEnded(ticket, outcome, now);
  const auto it = ActiveAttempts.find(ticket);
  if (it == ActiveAttempts.end())
    return;
  const ActiveAttempt attempt = it->second;
  ActiveAttempts.erase(it);
  const bool mayArrive =
      !attempt.HasResponse && (outcome == AttemptOutcome::TimedOut ||
                               outcome == AttemptOutcome::Cancelled);
  if (mayArrive)
    budget(attempt.Service).onUnanswered(ticket, attempt.Runner);
  else
    budget(attempt.Service).onSettled(ticket, now);
  // A timeout or a broken connection alone shows no restart: under load, slow
  // runners would lose their load to others, which would then be slow.
  if (outcome == AttemptOutcome::Unreachable)
    onUnreachable(attempt, now);
  Evidence.record(attempt.evidenceKey(), countsOf(attempt, outcome, now), now);
  switch (outcome) {
  case AttemptOutcome::Served:
    reportEjection(Ejections.onSuccess(attempt.Runner), outcome);
    break;
  case AttemptOutcome::Unreachable:
    reportEjection(Ejections.onUnreachable(attempt.Runner, now), outcome);
    break;
  case AttemptOutcome::ErrorResponse:
  case AttemptOutcome::Broken:
  case AttemptOutcome::TimedOut:
    reportEjection(Ejections.onFailure(attempt.Runner, now), outcome);
    break;
  case AttemptOutcome::Rejected:
    reportEjection(Ejections.onFailure(attempt.Runner, now), outcome);
    Rejections.onRejected(attempt.Runner, now);
    break;
  case AttemptOutcome::Cancelled:
    break;
  }
}

rollout::AnswerCounts Dispatcher::countsOf(const ActiveAttempt &attempt,
                                           AttemptOutcome outcome,
                                           core::Millis now) const {
  rollout::AnswerCounts counts;
  const bool isServed = outcome == AttemptOutcome::Served;
  const bool isTimedOut = outcome == AttemptOutcome::TimedOut;
  counts.Failed = outcome == AttemptOutcome::ErrorResponse ? 1 : 0;
  counts.Broken = outcome == AttemptOutcome::Broken || isTimedOut ? 1 : 0;
  counts.Judged = isServed ? 1 : counts.Failed + counts.Broken;
  if (attempt.IsStream && isServed)
    recordInterval(attempt, counts);
  if (!attempt.IsStream && (isServed || isTimedOut))
    counts.Durations.add(attempt.OtherRequests,
                         static_cast<double>((now - attempt.SentAt).count()));
  return counts;
}

void Dispatcher::reportEjection(
    const std::optional<limits::EjectionChange> &change,
    AttemptOutcome outcome) {
  if (change && OnEjection)
    OnEjection(*change, outcome);
}

} // namespace cowslipridge::gateway
