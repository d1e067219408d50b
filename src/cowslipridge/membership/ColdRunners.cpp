#include "cowslipridge/membership/ColdRunners.hpp"

#include <algorithm>

namespace cowslipridge::membership {

ColdRunners::Record ColdRunners::makeRecord(core::Millis startedAt) {
  Record record;
  record.StartedAt = startedAt;
  return record;
}

ColdRunners::Record *ColdRunners::recordOf(const core::RunnerId &runner,
                                           core::Millis startedAt) {
  Record &record =
      Records.try_emplace(runner, makeRecord(startedAt)).first->second;
  if (startedAt < record.StartedAt)
    return nullptr;
  if (startedAt > record.StartedAt)
    record = makeRecord(startedAt);
  return &record;
}

void ColdRunners::setColdUntil(Record &record, core::Millis until) {
  record.ColdUntil = std::max(record.ColdUntil.value_or(until), until);
}

// A runner is listed again after its entry was gone.
void ColdRunners::restore(const BackendServer &server, core::Millis now) {
  const auto it = Records.find(server.Id);
  if (it == Records.end() || !it->second.Removed)
    return;
  Record &record = it->second;
  if (record.StartedAt != server.StartedAt)
    record = makeRecord(server.StartedAt);
  record.Removed = false;
  record.RemovedAt.reset();
  // Nobody reports on a runner that is not listed.
  if (record.ReportedAt)
    record.ReportedAt = now;
}

void ColdRunners::onEntry(const BackendServer &server, core::Millis now) {
  restore(server, now);
  Record *record = recordOf(server.Id, server.StartedAt);
  if (record == nullptr)
    return;
  const bool isKnown =
      server.Sequence != 0 && server.Sequence <= record->Sequence;
  record->Sequence = server.Sequence;
  if (!isKnown && server.ColdRemaining > core::Millis())
    setColdUntil(*record, now + server.ColdRemaining);
}

void ColdRunners::setCold(const BackendServer &server, core::Millis coldStart,
                          core::Millis now) {
  if (Record *record = recordOf(server.Id, server.StartedAt))
    setColdUntil(*record, now + coldStart);
}

void ColdRunners::assumeCold(const BackendServer &server,
                             core::Millis coldStart, core::Millis now) {
  if (Record *record = recordOf(server.Id, server.StartedAt))
    record->AssumedUntil = now + coldStart;
}

bool ColdRunners::onUnreachable(const core::RunnerId &runner,
                                core::Millis startedAt, core::Millis now) {
  Record *record = recordOf(runner, startedAt);
  if (record == nullptr)
    return false;
  record->ReportedAt.reset();
  if (record->SuspectedSince)
    return false;
  record->SuspectedSince = now;
  return true;
}

bool ColdRunners::onResponse(const core::RunnerId &runner,
                             core::Millis startedAt, core::Millis sentAt,
                             core::Millis coldStart, core::Millis now) {
  Record *record = recordOf(runner, startedAt);
  if (record == nullptr || !record->SuspectedSince)
    return false;
  const bool hasRestarted = sentAt >= *record->SuspectedSince;
  record->SuspectedSince.reset();
  record->ReportedAt.reset();
  if (hasRestarted) {
    record->IsOwnFinding = true;
    setColdUntil(*record, now + coldStart);
  }
  return hasRestarted;
}

void ColdRunners::onPeerReport(const ColdReport &report, const ColdStartOf &of,
                               core::Millis now) {
  for (const ColdRunner &it : report.Runners)
    apply(it, of, now);
  if (!report.Settled)
    return;
  for (auto &[runner, record] : Records)
    record.AssumedUntil = core::Millis();
}

void ColdRunners::apply(const ColdRunner &reported, const ColdStartOf &of,
                        core::Millis now) {
  const auto known = Records.find(reported.Runner);
  if (known == Records.end() || known->second.StartedAt != reported.StartedAt)
    return;
  Record &record = known->second;
  if (reported.Remaining) {
    const core::Millis until = now + *reported.Remaining;
    setColdUntil(record, until);
    // The cold phase began after the suspicion: the peer had a response.
    const bool isLater = record.SuspectedSince &&
                         until >= *record.SuspectedSince + of(reported.Runner);
    if (isLater) {
      record.SuspectedSince.reset();
      record.ReportedAt.reset();
    }
    return;
  }
  const bool isOwnSuspicion = record.SuspectedSince && !record.ReportedAt;
  if (isOwnSuspicion)
    return;
  record.SuspectedSince = record.SuspectedSince.value_or(now);
  record.ReportedAt = now;
}

bool ColdRunners::isSuspected(const core::RunnerId &runner) const {
  const auto it = Records.find(runner);
  return it != Records.end() && it->second.SuspectedSince;
}

bool ColdRunners::isAssumed(const core::RunnerId &runner,
                            core::Millis now) const {
  const auto it = Records.find(runner);
  if (it == Records.end() || now >= it->second.AssumedUntil)
    return false;
  const Record &record = it->second;
  const bool isKnown =
      record.SuspectedSince || (record.ColdUntil && now < *record.ColdUntil);
  return !isKnown;
}

WarmUpStep ColdRunners::step(const core::RunnerId &runner,
                             core::Millis now) const {
  const auto it = Records.find(runner);
  if (it == Records.end())
    return WarmUpStep::Warm;
  const Record &record = it->second;
  if (record.SuspectedSince || now < record.AssumedUntil)
    return WarmUpStep::Cold;
  if (!record.ColdUntil || now >= *record.ColdUntil + StepDuration * 2)
    return WarmUpStep::Warm;
  if (now < *record.ColdUntil)
    return WarmUpStep::Cold;
  return now < *record.ColdUntil + StepDuration ? WarmUpStep::FirstStep
                                                : WarmUpStep::SecondStep;
}

void ColdRunners::removeRunner(const core::RunnerId &runner) {
  const auto it = Records.find(runner);
  if (it != Records.end())
    it->second.Removed = true;
}

void ColdRunners::tick(const ColdStartOf &of, core::Millis now) {
  for (auto &[runner, record] : Records) {
    if (record.Removed) {
      record.RemovedAt = record.RemovedAt.value_or(now);
      continue;
    }
    if (!record.ReportedAt || now - *record.ReportedAt <= ReportLifetime)
      continue;
    setColdUntil(record, *record.ReportedAt + of(runner));
    record.ReportedAt.reset();
    record.SuspectedSince.reset();
  }
  std::erase_if(Records, [&](const auto &it) {
    const auto &removedAt = it.second.RemovedAt;
    return removedAt && now - *removedAt >= RemovedRetention;
  });
}

// A suspicion that rests on reports is not reported on: two gateways would keep
// it up for ever.
ColdReport ColdRunners::report(core::Millis now) const {
  ColdReport report{true, {}};
  for (const auto &[runner, record] : Records) {
    report.Settled = report.Settled && now >= record.AssumedUntil;
    const bool isOwnSuspicion = record.SuspectedSince && !record.ReportedAt;
    if (isOwnSuspicion)
      report.Runners.push_back({runner, record.StartedAt, std::nullopt});
    else if (record.IsOwnFinding && record.ColdUntil && *record.ColdUntil > now)
      report.Runners.push_back(
          {runner, record.StartedAt, *record.ColdUntil - now});
  }
  return report;
}

} // namespace cowslipridge::membership
