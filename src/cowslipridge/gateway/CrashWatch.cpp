#include "cowslipridge/gateway/CrashWatch.hpp"

#include "cowslipridge/gateway/RequestTraits.hpp"

#include <algorithm>

namespace cowslipridge::gateway {

namespace {

using limits::CrashAttribution;

/// Evidence is in each report for this time, as reports may be lost.
constexpr core::Millis ReportTime{2'000};
// Bounds on one report, so that it fits a datagram.
constexpr std::size_t MaxReportedBreaks = 40;
constexpr std::size_t MaxReportedSurvivals = 60;
constexpr std::size_t MaxReportedTraits = 60;

} // namespace

void CrashWatch::onSent(std::uint64_t ticket, const core::ServiceId &service,
                        const core::RunnerId &runner,
                        const CallerRequest &caller, core::Millis now) {
  Attempt attempt;
  attempt.SentAt = now;
  attempt.Runner = runner;
  attempt.Request = hashOf(caller.Id.str());
  attempt.Traits = traitsOf(caller, service);
  if (!attempt.Traits.isEmpty())
    Attempts.emplace(ticket, std::move(attempt));
}

void CrashWatch::onBegun(std::uint64_t ticket, core::Millis now) {
  const auto it = Attempts.find(ticket);
  if (it == Attempts.end() || it->second.Begun)
    return;
  Attribution.onWentOn(it->second.Runner, it->second.SentAt, now);
  it->second.Begun = true;
  it->second.BegunAt = now;
  Attribution.onBegun(now);
}

void CrashWatch::onEvents(std::uint64_t ticket, core::Millis now) {
  const auto it = Attempts.find(ticket);
  if (it == Attempts.end() || !it->second.Begun)
    return;
  Attribution.onWentOn(it->second.Runner, it->second.SentAt, now);
  if (it->second.Survived)
    return;
  if (now - it->second.BegunAt <= CrashAttribution::MaxCrashDelay)
    return;
  it->second.Survived = true;
  onSurvived(it->second.Traits, now);
}

void CrashWatch::onEnded(std::uint64_t ticket, AttemptOutcome outcome,
                         core::Millis now) {
  const auto it = Attempts.find(ticket);
  if (it == Attempts.end())
    return;
  Attempt attempt = std::move(it->second);
  Attempts.erase(it);
  const bool isYoung = attempt.Begun && !attempt.Survived &&
                       now - attempt.BegunAt <= CrashAttribution::MaxCrashDelay;
  switch (outcome) {
  case AttemptOutcome::Served:
    Attribution.onWentOn(attempt.Runner, attempt.SentAt, now);
    if (!attempt.Survived)
      onSurvived(attempt.Traits, now);
    break;
  case AttemptOutcome::Broken:
    if (isYoung)
      onBroken(attempt, now);
    else if (!attempt.Begun)
      onBrokenBeforeAnswer(attempt, now);
    blameCancelled(attempt.Runner, now);
    break;
  case AttemptOutcome::Unreachable:
    blameCancelled(attempt.Runner, now);
    break;
  case AttemptOutcome::Cancelled:
    if (isYoung)
      Cancelled.push_back(std::move(attempt));
    break;
  case AttemptOutcome::Rejected:
  case AttemptOutcome::ErrorResponse:
    Attribution.onWentOn(attempt.Runner, attempt.SentAt, now);
    break;
  case AttemptOutcome::TimedOut:
    break;
  }
}

void CrashWatch::onBroken(const Attempt &attempt, core::Millis now) {
  limits::EarlyBreak event{attempt.Runner, attempt.Request, attempt.Traits,
                           now};
  record(event, true, now);
  OwnBreaks.push_back(std::move(event));
}

// A runner may crash on a request before it answers, but then it has not begun
// to write on the prompt.
void CrashWatch::onBrokenBeforeAnswer(Attempt attempt, core::Millis now) {
  attempt.Traits.Segments.clear();
  Attribution.onBegun(now);
  onBroken(attempt, now);
}

void CrashWatch::blameCancelled(const core::RunnerId &runner,
                                core::Millis brokenAt) {
  std::erase_if(Cancelled, [&](const Attempt &it) {
    const bool isCandidate =
        it.Runner == runner && it.BegunAt <= brokenAt &&
        brokenAt - it.BegunAt <= CrashAttribution::MaxCrashDelay;
    if (isCandidate)
      onBroken(it, brokenAt);
    return isCandidate;
  });
}

void CrashWatch::record(const limits::EarlyBreak &event, bool isOwn,
                        core::Millis now) {
  if (Quarantine.find(event.Traits, now))
    Attribution.onExplained(event);
  else
    Attribution.onBreak(event, isOwn, now);
}

void CrashWatch::onSurvived(const limits::RequestTraits &traits,
                            core::Millis now) {
  for (const limits::RequestTrait &it : traits.list())
    Attribution.onSurvived({it, now}, true);
}

void CrashWatch::applyVerdicts(core::Millis now) {
  while (const auto verdict = Attribution.verdict(now)) {
    Attribution.onBlamed(verdict->Trait);
    const bool isNew = Quarantine.add(verdict->Trait, now);
    if (isNew && OnQuarantine)
      OnQuarantine({{verdict->Trait, limits::TraitQuarantine::Duration},
                    verdict->Crashes,
                    verdict->Requests});
  }
}

std::optional<NoPlacement> CrashWatch::refusal(const CallerRequest &caller,
                                               const core::ServiceId &service,
                                               AttemptKind kind,
                                               core::Millis now) const {
  const bool isRetry =
      kind == AttemptKind::Retry || kind == AttemptKind::RetryUnanswered;
  if (Quarantine.size() == 0 && !isRetry)
    return std::nullopt;
  const limits::RequestTraits traits = traitsOf(caller, service);
  if (const auto found = Quarantine.find(traits, now))
    return NoPlacement{found->Trait.Kind == limits::TraitKind::Content
                           ? "the request is quarantined"
                           : "a segment of the prompt is quarantined",
                       found->Remaining};
  if (isRetry && Attribution.isSuspect(traits, now))
    return NoPlacement{"the request may crash runners", MinRetryAfter};
  return std::nullopt;
}

void CrashWatch::adopt(const limits::QuarantinedTrait &trait,
                       core::Millis now) {
  if (!Quarantine.adopt(trait, now))
    return;
  Attribution.onBlamed(trait.Trait);
  if (OnQuarantine)
    OnQuarantine({trait});
}

CrashReport CrashWatch::report(core::Millis now) const {
  CrashReport report;
  report.SentAt = now;
  report.Breaks = {OwnBreaks.begin(), OwnBreaks.end()};
  report.Survivals = Attribution.ownSurvivalsSince(now - ReportTime);
  if (report.Survivals.size() > MaxReportedSurvivals)
    report.Survivals.resize(MaxReportedSurvivals);
  report.Quarantined = Quarantine.list(MaxReportedTraits, now);
  return report;
}

void CrashWatch::onPeerReport(const CrashReport &report, core::Millis now) {
  for (const limits::QuarantinedTrait &it : report.Quarantined)
    adopt(it, now);
  const auto toOwnClock = [&](core::Millis at) {
    return now - (report.SentAt - at);
  };
  for (limits::EarlyBreak it : report.Breaks) {
    it.At = toOwnClock(it.At);
    record(it, false, now);
    blameCancelled(it.Runner, it.At);
  }
  for (const limits::TraitSurvival &it : report.Survivals)
    Attribution.onSurvived({it.Trait, toOwnClock(it.At)}, false);
}

void CrashWatch::tick(core::Millis now) {
  Attribution.tick(now);
  applyVerdicts(now);
  Quarantine.tick(now);
  while (!OwnBreaks.empty() && (OwnBreaks.size() > MaxReportedBreaks ||
                                now - OwnBreaks.front().At > ReportTime))
    OwnBreaks.pop_front();
  while (!Cancelled.empty() &&
         now - Cancelled.front().BegunAt > CrashAttribution::MaxCrashDelay * 2)
    Cancelled.pop_front();
}

} // namespace cowslipridge::gateway
