#include "cowslipridge/ledger/JournalAppender.hpp"

#include "cowslipridge/core/Visit.hpp"

#include <algorithm>
#include <iterator>

namespace cowslipridge::ledger {

using backing::SwapStatus;

namespace {

constexpr core::Millis MinRetryDelay{20};
constexpr core::Millis MaxRetryDelay{1'000};

CommitUrgency urgencyOf(const QueuedRecord &record) {
  if (std::holds_alternative<ClaimOutcome>(record.Record))
    return CommitUrgency::Soon;
  return record.Waiter != 0 ? CommitUrgency::Now : CommitUrgency::Later;
}

} // namespace

JournalAppender::JournalAppender(AppenderSettings settings)
    : Settings(std::move(settings)), Pacer(Settings.Pacer),
      RetryDelay(MinRetryDelay) {}

void JournalAppender::append(QueuedRecord record, core::Millis now) {
  if (Queue.empty())
    OldestQueued = now;
  QueueBytes += encodedSize(record.Record);
  QueueUrgency = std::max(QueueUrgency, urgencyOf(record));
  Queue.push_back(std::move(record));
}

bool JournalAppender::dropQueued(Ticket waiter) {
  const auto it =
      std::find_if(Queue.begin(), Queue.end(),
                   [&](const QueuedRecord &x) { return x.Waiter == waiter; });
  if (it == Queue.end())
    return false;
  QueueBytes -= encodedSize(it->Record);
  Queue.erase(it);
  return true;
}

std::size_t JournalAppender::pending() const {
  const bool isUncommitted = Pending && !Pending->Committed;
  return Queue.size() + (isUncommitted ? Pending->Records.size() : 0);
}

std::vector<QueuedRecord> JournalAppender::takeUncommitted() {
  std::vector<QueuedRecord> records;
  if (Pending && !Pending->Committed)
    records = std::move(Pending->Records);
  Pending.reset();
  std::move(Queue.begin(), Queue.end(), std::back_inserter(records));
  Queue.clear();
  return records;
}

std::string JournalAppender::newAppendId() {
  return Settings.Writer + ":" + std::to_string(AppendCount++);
}

std::optional<core::Millis> JournalAppender::batchAt() const {
  if (!IsOpen)
    return NotBefore;
  if (Queue.empty())
    return SealWanted || VerifyWanted ? std::optional(NotBefore) : std::nullopt;
  const bool isUrgent =
      SealWanted || VerifyWanted || QueueBytes >= Settings.MaxBatchBytes;
  return Pacer.commitAt(isUrgent ? CommitUrgency::Now : QueueUrgency,
                        OldestQueued);
}

bool JournalAppender::isBatchDue(core::Millis now) const {
  const std::optional<core::Millis> at = batchAt();
  return at && *at <= now;
}

// Moves queued records, up to the size of one commit, into a batch with the
// complete head value that carries them. The batch stays unchanged until its
// outcome is known, so that a retry writes the same value.
void JournalAppender::startBatch() {
  Batch batch;
  auto end = Queue.begin();
  while (end != Queue.end() && batch.Bytes < Settings.MaxBatchBytes)
    batch.Bytes += encodedSize((end++)->Record);
  batch.Records.assign(std::make_move_iterator(Queue.begin()),
                       std::make_move_iterator(end));
  Queue.erase(Queue.begin(), end);
  QueueBytes = Queue.empty() ? 0 : QueueBytes - batch.Bytes;
  if (Queue.empty())
    QueueUrgency = CommitUrgency::Later;
  batch.Head = {newAppendId(), Segments, {}, HeadRecords};
  for (const QueuedRecord &it : batch.Records)
    batch.Head.Records.push_back(it.Record);
  if (IsOpen && SealWanted && Queue.empty())
    batch.Head.SealedBy = toString(Settings.Journal);
  batch.Value = encodeHead(batch.Head);
  VerifyWanted = false;
  Pending = std::move(batch);
  Step = Phase::Swap;
}

std::optional<StoreCommand> JournalAppender::commandOfPhase() {
  const std::string head = headKey(Settings.Service, Settings.Journal);
  switch (Step) {
  case Phase::Idle:
    return std::nullopt;
  case Phase::Swap:
    return SwapKey{head, Pending->Value, HeadRevision};
  case Phase::Read:
    return ReadKey{head};
  case Phase::Roll:
    break;
  }
  return SwapKey{segmentKey(Settings.Service, Settings.Journal, Segments),
                 encodeSegment(HeadRecords), 0};
}

std::optional<StoreCommand> JournalAppender::next(core::Millis now) {
  if (CallInFlight || IsSealed || now < NotBefore)
    return std::nullopt;
  if (Step == Phase::Idle && HeadBytes >= Settings.RollBytes) {
    Step = Phase::Roll;
    Pacer.onCommit(now); // writing a segment also uses the budget
  }
  if (Step == Phase::Idle && isBatchDue(now)) {
    startBatch();
    Pacer.onCommit(now);
  }
  std::optional<StoreCommand> command = commandOfPhase();
  CallInFlight = command.has_value();
  return command;
}

std::optional<core::Millis> JournalAppender::wakeAt() const {
  if (CallInFlight || IsSealed)
    return std::nullopt;
  if (Step != Phase::Idle || HeadBytes >= Settings.RollBytes)
    return NotBefore;
  const std::optional<core::Millis> at = batchAt();
  return at ? std::optional(std::max(*at, NotBefore)) : std::nullopt;
}

AppenderResult JournalAppender::onReply(const StoreReply &reply,
                                        core::Millis now) {
  CallInFlight = false;
  AppenderResult result;
  std::visit(core::Overloaded{
                 [&](SwapStatus status) {
                   if (Step == Phase::Roll)
                     onRolled(status, result, now);
                   else
                     onSwap(status, result, now);
                 },
                 [&](const ReadReply &read) { onRead(read, result, now); }},
             reply);
  return result;
}

void JournalAppender::backOff(core::Millis now) {
  NotBefore = now + RetryDelay;
  RetryDelay = std::min(RetryDelay * 2, MaxRetryDelay);
}

void JournalAppender::storeFailed(AppenderResult &result, core::Millis now) {
  result.StoreFailed = true;
  StoreAvailable = false;
  backOff(now);
}

void JournalAppender::onSwap(SwapStatus status, AppenderResult &result,
                             core::Millis now) {
  Step = Phase::Read;
  if (status == SwapStatus::Unavailable)
    storeFailed(result, now);
  if (status == SwapStatus::Swapped)
    commitBatch(result);
}

// The committed head determines the segment's content. On a mismatch the key
// therefore already holds the same content.
void JournalAppender::onRolled(SwapStatus status, AppenderResult &result,
                               core::Millis now) {
  if (status == SwapStatus::Unavailable || status == SwapStatus::LostReply) {
    storeFailed(result, now);
    return;
  }
  StoreAvailable = true;
  ++Segments;
  HeadRecords.clear();
  HeadBytes = 0;
  Step = Phase::Idle;
}

void JournalAppender::commitBatch(AppenderResult &result) {
  if (Pending->Committed)
    return;
  Pending->Committed = true;
  LastAppend = Pending->Head.Append;
  HeadRecords = std::move(Pending->Head.Records);
  HeadBytes += Pending->Bytes;
  result.Opened = !IsOpen;
  IsOpen = true;
  result.Committed = std::move(Pending->Records);
}

void JournalAppender::onRead(const ReadReply &reply, AppenderResult &result,
                             core::Millis now) {
  if (!reply) {
    storeFailed(result, now);
    return;
  }
  StoreAvailable = true;
  RetryDelay = MinRetryDelay;
  if (!reply->has_value()) {
    // Until the journal is open, the first write may not have taken effect.
    // Later the key must have been removed, and only a new journal is safe.
    if (IsOpen)
      seal(result);
    else
      Step = Phase::Swap;
    return;
  }
  const core::Result<JournalHead> head = decodeHead((*reply)->Value);
  if (!head)
    seal(result);
  else
    onHead(*head, (*reply)->ModifiedAt, result, now);
}

void JournalAppender::onHead(const JournalHead &head,
                             backing::Revision revision, AppenderResult &result,
                             core::Millis now) {
  if (head.Append != Pending->Head.Append) {
    onForeignHead(head, revision, result, now);
    return;
  }
  commitBatch(result);
  HeadRevision = revision;
  Pending.reset();
  Step = Phase::Idle;
  if (head.sealed())
    seal(result);
}

void JournalAppender::onForeignHead(const JournalHead &head,
                                    backing::Revision revision,
                                    AppenderResult &result, core::Millis now) {
  const bool isOwnAppend = IsOpen && head.Append == LastAppend;
  if (Pending->Committed && !head.sealed()) {
    backOff(now); // the read predates the committed append
    return;
  }
  if (!isOwnAppend || head.sealed()) {
    seal(result);
    return;
  }
  HeadRevision = revision;
  Step = Phase::Swap;
}

void JournalAppender::seal(AppenderResult &result) {
  IsSealed = true;
  result.Sealed = true;
}

} // namespace cowslipridge::ledger
