#include "cowslipridge/ledger/JournalStateMachine.hpp"

#include "cowslipridge/core/Visit.hpp"

#include <algorithm>
#include <limits>

namespace cowslipridge::ledger {

namespace {

constexpr core::Millis StoreRetryAfter{1'000};
constexpr core::Millis HandOffRetryAfter{200};
// Largest expected difference between the instances' wall clocks; added to the
// deduplication window.
constexpr core::Millis ClockSkew{60'000};
constexpr core::Millis ExpiryInterval{10'000};
constexpr core::Millis Forever{std::numeric_limits<std::int64_t>::max()};

ClaimOutcome notRun(const IdempotencyKey &key) {
  return {key, core::Outcome::NotRun, 0, {}};
}

} // namespace

JournalStateMachine::JournalStateMachine(JournalSettings settings)
    : Settings(std::move(settings)), ClaimsAndPins(Settings.Shards) {
  openJournal(0);
}

void JournalStateMachine::openJournal(unsigned epoch) {
  const JournalId id{Settings.Instance, Settings.Start, epoch};
  AppenderSettings appender;
  appender.Service = Settings.Service;
  appender.Journal = id;
  appender.Writer = Settings.Writer;
  appender.RollBytes = Settings.RollBytes;
  appender.Pacer = Settings.Pacer;
  Appender = std::make_unique<JournalAppender>(appender);
  Appender->setFleetSize(FleetSize);
  ShardManagerSettings manager;
  manager.Service = Settings.Service;
  manager.Journal = id;
  manager.Shards = Settings.Shards;
  manager.PollInterval = Settings.PollInterval;
  manager.OwnerlessTimeout = Settings.PollInterval * 3;
  Manager = std::make_unique<ShardManager>(manager);
  AppendCall = 0;
  ShardCall = 0;
}

JournalActions JournalStateMachine::handle(const JournalEvent &event,
                                           ClockReadings now) {
  Now = now;
  std::visit(core::Overloaded{
                 [&](const StartRequested &) { Started = true; },
                 [&](const ClaimRequested &x) { onClaim(x); },
                 [&](const AttachRequested &x) { onAttach(x); },
                 [&](const RecordOutcomeRequested &x) { onRecordOutcome(x); },
                 [&](const BillRequested &x) {
                   Appender->append({x.Wanted, 0}, Now.Monotonic);
                 },
                 [&](const PinRequested &x) { onPin(x); },
                 [&](const TakeOverRequested &x) { onTakeOver(x); },
                 [&](const CloseRequested &) { onClose(); },
                 [&](const FleetResized &x) {
                   FleetSize = x.Ledgers;
                   Appender->setFleetSize(FleetSize);
                 },
                 [&](const StoreReplied &x) { onStoreReply(x); },
                 [](const TimePassed &) {}},
             event);
  advance();
  return std::exchange(Out, {});
}

// Requests -----------------------------------------------------------------

std::optional<ClaimRefused>
JournalStateMachine::refusalOf(unsigned shard) const {
  if (Closing)
    return ClaimRefused{core::Errc::Leaving, {}, HandOffRetryAfter};
  if (!Appender->opened() || !Manager->table())
    return ClaimRefused{core::Errc::StoreUnavailable, {}, StoreRetryAfter};
  if (Manager->serves(shard))
    return std::nullopt;
  const std::optional<JournalId> owner = Manager->ownerOf(shard);
  if (!owner || *owner == Appender->journal())
    return ClaimRefused{core::Errc::NotOwner, {}, HandOffRetryAfter};
  return ClaimRefused{core::Errc::NotOwner, owner->Instance, core::Millis(0)};
}

void JournalStateMachine::onClaim(const ClaimRequested &event) {
  const Claim &claim = event.Wanted;
  if (const auto refusal = refusalOf(shardOf(claim.Key, Settings.Shards))) {
    emit(AnswerClaim{event.Requester, *refusal});
    return;
  }
  if (const ClaimEntry *known = ClaimsAndPins.find(claim.Key)) {
    if (known->State == ClaimState::Completed)
      emit(AnswerClaim{event.Requester, ReplayOutcome{known->Outcome}});
    else
      emit(AnswerClaim{event.Requester, AlreadyRunning{}});
    return;
  }
  if (!Appender->isStoreAvailable()) {
    emit(AnswerClaim{
        event.Requester,
        ClaimRefused{core::Errc::StoreUnavailable, {}, StoreRetryAfter}});
    return;
  }
  ClaimsAndPins.begin(claim);
  ClaimWaiters.push_back({event.Requester, claim.Key, Now.Monotonic});
  Appender->append({claim, event.Requester}, Now.Monotonic);
}

// An unknown claim has ended as not run, or a take-over has made this ledger
// forget it while its call runs. What is left does not tell which.
void JournalStateMachine::onAttach(const AttachRequested &event) {
  const ClaimEntry *known = ClaimsAndPins.find(event.Key);
  if (known == nullptr)
    emit(AnswerAttach{event.Requester,
                      {event.Key, core::Outcome::Unknown, 0, {}}});
  else if (known->State == ClaimState::Completed)
    emit(AnswerAttach{event.Requester, known->Outcome});
  else
    Attached[event.Key].push_back(event.Requester);
}

// The claim is already committed, so retries may receive the outcome before the
// outcome itself is committed.
void JournalStateMachine::onRecordOutcome(const RecordOutcomeRequested &event) {
  const ClaimOutcome &outcome = event.Outcome;
  notifyAttached(outcome);
  const ClaimEntry *known = ClaimsAndPins.find(outcome.Key);
  if (known == nullptr || known->State != ClaimState::Running) {
    emit(AnswerRecordOutcome{
        event.Requester}); // a take-over recorded it as Unknown
    return;
  }
  if (outcome.Result == core::Outcome::NotRun)
    ClaimsAndPins.erase(outcome.Key);
  else
    ClaimsAndPins.recordOutcome(outcome);
  Appender->append({outcome, event.Requester}, Now.Monotonic);
}

void JournalStateMachine::onPin(const PinRequested &event) {
  const SessionPin &wanted = event.Wanted;
  const IdempotencyKey key = pinKey(wanted);
  if (const auto refusal = refusalOf(shardOf(key, Settings.Shards))) {
    emit(AnswerPin{event.Requester, refusal->Reason});
    return;
  }
  const PinEntry *known = ClaimsAndPins.findPin(wanted);
  if (known != nullptr && known->Committed) {
    emit(AnswerPin{event.Requester, known->Pin});
    return;
  }
  if (!Appender->isStoreAvailable()) {
    emit(AnswerPin{event.Requester, core::Errc::StoreUnavailable});
    return;
  }
  PinWaiters[key].push_back(event.Requester);
  if (known != nullptr)
    return;
  ClaimsAndPins.beginPin(wanted);
  Appender->append({wanted, event.Requester}, Now.Monotonic);
}

void JournalStateMachine::onTakeOver(const TakeOverRequested &event) {
  TakeOvers[event.FailedInstance].push_back(event.Requester);
  Manager->takeOver(event.FailedInstance, Now.Monotonic);
}

void JournalStateMachine::onClose() {
  Closing = true;
  Appender->requestSeal();
}

// Store replies ------------------------------------------------------------

void JournalStateMachine::onStoreReply(const StoreReplied &event) {
  if (event.Call != 0 && event.Call == AppendCall) {
    AppendCall = 0;
    applyAppend(Appender->onReply(event.Reply, Now.Monotonic));
  } else if (event.Call != 0 && event.Call == ShardCall) {
    ShardCall = 0;
    const core::Millis after = Now.Wall - Settings.DedupWindow - ClockSkew;
    applyShardResult(Manager->onReply(event.Reply, Now.Monotonic, after));
  }
}

void JournalStateMachine::applyAppend(const AppenderResult &result) {
  if (result.Opened) {
    Manager->start(Now.Monotonic);
    for (const auto &[instance, requesters] : TakeOvers)
      Manager->takeOver(instance, Now.Monotonic);
  }
  // A reply that reports both a commit and a seal means that the journal was
  // sealed after the commit. The committed claims are in a sealed journal and
  // must not run.
  if (result.Sealed)
    refuseWaitingClaims(core::Errc::Sealed, Forever);
  for (const QueuedRecord &it : result.Committed)
    onCommitted(it);
  if (result.Sealed)
    onSealed();
  if (result.StoreFailed) {
    refuseWaitingClaims(core::Errc::StoreUnavailable, Forever);
    failPins(core::Errc::StoreUnavailable);
  }
  if (result.Opened && !std::exchange(StartAnswered, true))
    emit(AnswerStart{});
  reportAvailability();
}

void JournalStateMachine::applyShardResult(const ShardManagerResult &result) {
  for (const JournalRecord &it : result.AdoptionRecords)
    Appender->append({it, 0}, Now.Monotonic);
  if (result.Evicted)
    Appender->verify();
  for (const JournalId &it : result.FoundSealed)
    emit(JournalNotification{
        NotificationKind::JournalTakenOver, {}, toString(it)});
  for (const ShardManagerResult::FinishedTakeOver &it : result.TakeOvers) {
    for (const Ticket requester : TakeOvers[it.Instance])
      emit(AnswerTakeOver{requester, it.Error});
    TakeOvers.erase(it.Instance);
  }
}

void JournalStateMachine::onCommitted(const QueuedRecord &record) {
  std::visit(
      core::Overloaded{
          [&](const Claim &x) { onClaimCommitted(x, record.Waiter); },
          [&](const ClaimOutcome &x) { onOutcomeCommitted(x, record.Waiter); },
          [&](const Bill &x) {
            emit(JournalNotification{
                NotificationKind::BillWritten, x.Request, {}});
          },
          [&](const SessionPin &x) { onPinCommitted(x); },
          [&](const ShardRelease &x) {
            ClaimsAndPins.removeShard(x.Shard);
            Manager->onReleased(x.Shard, Now.Monotonic);
          },
          [&](const ShardAdoption &x) { Manager->onAdopted(x.Shard); }},
      record.Record);
}

void JournalStateMachine::onClaimCommitted(const Claim &claim, Ticket waiter) {
  if (waiter == 0) { // adopted; the next record is its outcome
    ClaimsAndPins.begin(claim);
    return;
  }
  const auto it = std::find_if(
      ClaimWaiters.begin(), ClaimWaiters.end(),
      [&](const WaitingClaim &x) { return x.Requester == waiter; });
  if (it == ClaimWaiters.end())
    return; // refused meanwhile; its NotRun outcome is queued
  ClaimWaiters.erase(it);
  ClaimsAndPins.find(claim.Key)->State = ClaimState::Running;
  emit(JournalNotification{NotificationKind::ClaimCommitted, claim.Request,
                           claim.Key.Key});
  emit(AnswerClaim{waiter, RunClaimed{}});
}

void JournalStateMachine::onOutcomeCommitted(const ClaimOutcome &outcome,
                                             Ticket waiter) {
  if (waiter != 0)
    emit(AnswerRecordOutcome{waiter});
  else if (outcome.Result != core::Outcome::NotRun)
    ClaimsAndPins.recordOutcome(outcome); // adopted
}

void JournalStateMachine::onPinCommitted(const SessionPin &pin) {
  PinEntry *entry = ClaimsAndPins.findPin(pin);
  if (entry == nullptr) {
    ClaimsAndPins.beginPin(pin); // adopted
    entry = ClaimsAndPins.findPin(pin);
  }
  entry->Committed = true;
  const auto waiters = PinWaiters.extract(pinKey(pin));
  if (waiters.empty())
    return;
  for (const Ticket requester : waiters.mapped())
    emit(AnswerPin{requester, entry->Pin});
}

// Refusals -----------------------------------------------------------------

void JournalStateMachine::refuseWaitingClaims(core::Errc reason,
                                              core::Millis before) {
  std::vector<WaitingClaim> remaining;
  for (const WaitingClaim &it : std::exchange(ClaimWaiters, {})) {
    if (it.Since >= before)
      remaining.push_back(it);
    else
      refuseClaim(it, reason);
  }
  ClaimWaiters = std::move(remaining);
}

// A claim that is part of a batch may still be committed. A NotRun outcome is
// then queued after it, so that a retry may claim the key again at once.
void JournalStateMachine::refuseClaim(const WaitingClaim &claim,
                                      core::Errc reason) {
  ClaimsAndPins.erase(claim.Key);
  if (!Appender->dropQueued(claim.Requester))
    Appender->append({notRun(claim.Key), 0}, Now.Monotonic);
  emit(AnswerClaim{claim.Requester, ClaimRefused{reason, {}, StoreRetryAfter}});
  notifyAttached(notRun(claim.Key));
}

void JournalStateMachine::notifyAttached(const ClaimOutcome &outcome) {
  const auto waiters = Attached.extract(outcome.Key);
  if (waiters.empty())
    return;
  for (const Ticket requester : waiters.mapped())
    emit(AnswerAttach{requester, outcome});
}

void JournalStateMachine::failPins(core::Errc reason) {
  for (const auto &[key, requesters] : std::exchange(PinWaiters, {})) {
    for (const Ticket requester : requesters)
      emit(AnswerPin{requester, reason});
  }
}

// Sealing ------------------------------------------------------------------

void JournalStateMachine::onSealed() {
  failPins(core::Errc::Sealed);
  ClaimsAndPins.clear();
  if (Closing && Appender->pending() == 0) {
    ClosedJournal = true;
    Manager->onOwnJournalSealed(Now.Monotonic);
    return;
  }
  emit(JournalNotification{
      NotificationKind::JournalSealed, {}, toString(Appender->journal())});
  reopen();
}

// Opens a journal with the next epoch and queues there the uncommitted bills of
// the sealed one.
void JournalStateMachine::reopen() {
  const std::vector<QueuedRecord> rest = Appender->takeUncommitted();
  openJournal(Appender->journal().Epoch + 1);
  for (const QueuedRecord &it : rest)
    requeue(it);
  if (Closing)
    Appender->requestSeal();
}

void JournalStateMachine::requeue(const QueuedRecord &record) {
  if (std::holds_alternative<Bill>(record.Record))
    Appender->append(record, Now.Monotonic);
  else if (std::holds_alternative<ClaimOutcome>(record.Record) &&
           record.Waiter != 0)
    emit(AnswerRecordOutcome{record.Waiter});
}

// Progress -----------------------------------------------------------------

void JournalStateMachine::releaseDrained() {
  for (const unsigned shard : Manager->draining()) {
    if (ClaimsAndPins.hasIncompleteClaims(shard))
      continue;
    Manager->beginRelease(shard);
    Appender->append({ShardRelease{Settings.Service, shard}, 0}, Now.Monotonic);
  }
}

void JournalStateMachine::reportAvailability() {
  const bool available = Appender->isStoreAvailable();
  if (available == StoreWasAvailable)
    return;
  StoreWasAvailable = available;
  emit(JournalNotification{available ? NotificationKind::StoreAvailable
                                     : NotificationKind::StoreUnavailable,
                           {},
                           {}});
}

void JournalStateMachine::expireClaims() {
  if (Now.Monotonic < NextExpiry)
    return;
  NextExpiry = Now.Monotonic + ExpiryInterval;
  ClaimsAndPins.expire(Now.Wall - Settings.DedupWindow - ClockSkew);
}

void JournalStateMachine::emitCall(StoreCommand command,
                                   std::uint64_t &expected) {
  expected = ++LastCall;
  emit(CallStore{expected, std::move(command)});
}

void JournalStateMachine::advance() {
  refuseWaitingClaims(core::Errc::StoreUnavailable,
                      Now.Monotonic - Settings.MaxClaimWait);
  expireClaims();
  if (!Started)
    return;
  releaseDrained();
  if (auto command = Appender->next(Now.Monotonic))
    emitCall(std::move(*command), AppendCall);
  if (auto command = Manager->next(Now.Monotonic))
    emitCall(std::move(*command), ShardCall);
  if (ClosedJournal && Manager->isDeregistered() &&
      !std::exchange(CloseAnswered, true))
    emit(AnswerClose{});
}

std::optional<core::Millis> JournalStateMachine::wakeAt() const {
  std::optional<core::Millis> at;
  const auto consider = [&](std::optional<core::Millis> other) {
    if (other && (!at || *other < *at))
      at = other;
  };
  if (!Started)
    return at;
  consider(Appender->wakeAt());
  consider(Manager->wakeAt());
  if (!ClaimWaiters.empty())
    consider(ClaimWaiters.front().Since + Settings.MaxClaimWait +
             core::Millis(1));
  return at;
}

std::optional<JournalId> JournalStateMachine::ownerOf(unsigned shard) const {
  return Manager->ownerOf(shard);
}

} // namespace cowslipridge::ledger
