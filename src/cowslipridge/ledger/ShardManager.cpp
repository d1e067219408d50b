#include "cowslipridge/ledger/ShardManager.hpp"

#include "cowslipridge/core/Error.hpp"

#include <algorithm>
#include <functional>
#include <iterator>

namespace cowslipridge::ledger {

namespace {

constexpr core::Millis RetryDelay{100};
constexpr std::int64_t MismatchSpreadMs = 20; ///< per consecutive mismatch
constexpr unsigned MaxSpreadFactor = 16;

// Returns a delay that differs between journals, so that writers of one table
// do not conflict again after a mismatch.
core::Millis mismatchDelay(const JournalId &journal, unsigned mismatches) {
  const std::size_t hash =
      std::hash<std::string>()(toString(journal) + std::to_string(mismatches));
  const auto factor = std::min(mismatches, MaxSpreadFactor);
  const auto limit = static_cast<std::size_t>(MismatchSpreadMs) * factor;
  return core::Millis(static_cast<std::int64_t>(hash % limit));
}

} // namespace

ShardManager::ShardManager(ShardManagerSettings settings)
    : Settings(std::move(settings)),
      States(Settings.Shards, ShardState::Foreign) {}

void ShardManager::start(core::Millis now) {
  Started = true;
  NextPoll = now;
}

void ShardManager::takeOver(const core::InstanceId &instance,
                            core::Millis now) {
  TakeOverTargets.try_emplace(instance);
  NextPoll = now;
}

void ShardManager::onOwnJournalSealed(core::Millis now) {
  Closing = true;
  KnownSealed.insert(Settings.Journal);
  std::fill(States.begin(), States.end(), ShardState::Released);
  Adopting.reset();
  NeedsSwap.reset();
  NextPoll = now;
}

void ShardManager::onAdopted(unsigned shard) {
  if (shard < States.size() && States[shard] == ShardState::Recording)
    States[shard] = ShardState::Served;
  NeedsSwap.reset();
}

void ShardManager::beginRelease(unsigned shard) {
  States[shard] = ShardState::Releasing;
}

void ShardManager::onReleased(unsigned shard, core::Millis now) {
  if (shard >= States.size() || States[shard] != ShardState::Releasing)
    return;
  States[shard] = ShardState::Released;
  NeedsSwap.reset();
  NextPoll = now;
}

std::vector<unsigned> ShardManager::draining() const {
  std::vector<unsigned> shards;
  for (unsigned i = 0; i < States.size(); ++i) {
    if (States[i] == ShardState::Draining)
      shards.push_back(i);
  }
  return shards;
}

bool ShardManager::serves(unsigned shard) const {
  return !Evicted && shard < States.size() &&
         States[shard] == ShardState::Served;
}

std::optional<JournalId> ShardManager::ownerOf(unsigned shard) const {
  if (!Table || shard >= Table->Shards.size())
    return std::nullopt;
  return Table->Shards[shard].Owner;
}

bool ShardManager::isDeregistered() const {
  return Table && Closing && Table->Members.count(Settings.Journal) == 0 &&
         ownedBy(*Table, Settings.Journal) == 0;
}

std::size_t ShardManager::served() const {
  return static_cast<std::size_t>(
      std::count(States.begin(), States.end(), ShardState::Served));
}

// Returns the table as last read, with the changes that this journal wants to
// make.
ShardTable ShardManager::wantedTable() const {
  ShardTable wanted = *Table;
  wanted.Shards.resize(Settings.Shards);
  for (const JournalId &it : KnownSealed)
    removeSealed(wanted, it);
  for (unsigned i = 0; i < States.size(); ++i) {
    if (States[i] == ShardState::Released)
      removeReleased(wanted, Settings.Journal, i);
    else if (States[i] == ShardState::Served &&
             wanted.Shards[i].Owner == Settings.Journal)
      wanted.Shards[i].Previous.clear();
  }
  if (Closing)
    return wanted;
  wanted.Members.insert(Settings.Journal);
  assignOwnerless(wanted, Settings.Journal,
                  OwnerlessTimedOut ? Settings.Shards : fairShare(wanted));
  return wanted;
}

bool ShardManager::needsSwap() const {
  if (!NeedsSwap)
    NeedsSwap = wantedTable() != *Table;
  return *NeedsSwap;
}

void ShardManager::chooseStep(core::Millis now) {
  if (Step != Phase::Idle)
    return;
  if (!Table || NextPoll <= now)
    Step = Phase::ReadTable;
  else if (!SealTargets.empty())
    Step = Phase::ReadTarget;
  else if (needsSwap())
    Step = Phase::SwapTable;
  else if (Adopting)
    Step = Phase::Adopt;
}

StoreCommand ShardManager::commandOfStep() const {
  if (Step == Phase::ReadTable)
    return ReadKey{shardTableKey(Settings.Service)};
  if (Step == Phase::SwapTable)
    return SwapKey{shardTableKey(Settings.Service), encodeTable(wantedTable()),
                   TableRevision};
  if (Step == Phase::ReadTarget)
    return ReadKey{headKey(Settings.Service, SealTargets.front())};
  if (Step == Phase::SealTarget) {
    JournalHead head = *SealTargetHead;
    head.SealedBy = toString(Settings.Journal);
    return SwapKey{headKey(Settings.Service, SealTargets.front()),
                   encodeHead(head), SealTargetRevision};
  }
  return ReadKey{Adopting->nextKey()};
}

std::optional<StoreCommand> ShardManager::next(core::Millis now) {
  if (!Started || Evicted || CallInFlight || now < NotBefore)
    return std::nullopt;
  chooseStep(now);
  if (Step == Phase::Idle)
    return std::nullopt;
  CallInFlight = true;
  return commandOfStep();
}

std::optional<core::Millis> ShardManager::wakeAt() const {
  if (!Started || Evicted || CallInFlight)
    return std::nullopt;
  if (Step != Phase::Idle || !SealTargets.empty() || Adopting)
    return NotBefore;
  if (Table && needsSwap())
    return NotBefore;
  return std::max(NextPoll, NotBefore);
}

void ShardManager::retryLater(core::Millis now) {
  NotBefore = now + RetryDelay;
}

ShardManagerResult ShardManager::onReply(const StoreReply &reply,
                                         core::Millis now,
                                         core::Millis claimsAfter) {
  CallInFlight = false;
  NeedsSwap.reset();
  ShardManagerResult result;
  const Phase ended = Step;
  Step = Phase::Idle;
  if (const auto *status = std::get_if<backing::SwapStatus>(&reply)) {
    onSwapped(*status, ended, now);
    return result;
  }
  const auto &read = std::get<ReadReply>(reply);
  if (!read)
    retryLater(now);
  else if (ended == Phase::ReadTable)
    onTable(read, result, now, claimsAfter);
  else if (ended == Phase::ReadTarget)
    onSealTargetRead(read, result, now);
  else if (ended == Phase::Adopt)
    onAdoptionRead(read, result, now, claimsAfter);
  return result;
}

// The effect of a write is determined by the next read, whatever its reply
// says.
void ShardManager::onSwapped(backing::SwapStatus status, Phase ended,
                             core::Millis now) {
  if (status == backing::SwapStatus::Unavailable)
    retryLater(now);
  if (ended != Phase::SwapTable)
    return;
  NextPoll = now;
  Mismatches = status == backing::SwapStatus::Mismatch ? Mismatches + 1 : 0;
  if (Mismatches > 0)
    NotBefore = now + mismatchDelay(Settings.Journal, Mismatches);
}

void ShardManager::updateOwnerlessTimeout(core::Millis now) {
  const bool ownerless =
      std::any_of(Table->Shards.begin(), Table->Shards.end(),
                  [](const ShardEntry &x) { return !x.Owner; });
  if (!ownerless)
    OwnerlessSince.reset();
  else if (!OwnerlessSince)
    OwnerlessSince = now;
  OwnerlessTimedOut =
      OwnerlessSince && now - *OwnerlessSince >= Settings.OwnerlessTimeout;
}

void ShardManager::onTable(const ReadReply &reply, ShardManagerResult &result,
                           core::Millis now, core::Millis claimsAfter) {
  NextPoll = now + Settings.PollInterval;
  ShardTable read;
  if (reply->has_value()) {
    const core::Result<ShardTable> decoded = decodeTable((*reply)->Value);
    if (!decoded) {
      NotBefore = NextPoll; // a damaged table is never overwritten
      return;
    }
    read = *decoded;
  }
  TableRevision = reply->has_value() ? (*reply)->ModifiedAt : 0;
  Table = std::move(read);
  const bool isMember = Table->Members.count(Settings.Journal) > 0;
  Evicted = Joined && !isMember && !Closing;
  Joined = isMember;
  result.Evicted = Evicted;
  if (Evicted)
    return;
  updateOwnerlessTimeout(now);
  syncStates();
  drainExcess();
  queueSealTargets();
  endTakeOvers(result);
  startAdoption(result, claimsAfter);
}

// Updates the state of each shard from the table as last read.
void ShardManager::syncStates() {
  if (Closing)
    return;
  for (unsigned i = 0; i < States.size(); ++i) {
    const bool isOwn = ownerOf(i) == Settings.Journal;
    if (!isOwn)
      States[i] = ShardState::Foreign;
    else if (isOwn && States[i] == ShardState::Foreign)
      States[i] = ShardState::Adopting;
  }
}

// Drains shards above the fair share while another member owns less than its
// share.
void ShardManager::drainExcess() {
  if (Closing || !hasMemberBelowShare(*Table))
    return;
  const std::size_t share = fairShare(*Table);
  std::size_t held = served();
  for (unsigned i = 0; i < States.size() && held > share; ++i) {
    if (States[i] != ShardState::Served)
      continue;
    States[i] = ShardState::Draining;
    --held;
  }
}

std::set<JournalId> ShardManager::listedJournals() const {
  std::set<JournalId> listed = Table->Members;
  for (const ShardEntry &it : Table->Shards) {
    if (it.Owner)
      listed.insert(*it.Owner);
  }
  listed.erase(Settings.Journal);
  return listed;
}

// Queues the journals to seal: those of the instances to take over, and earlier
// journals of this instance.
void ShardManager::queueSealTargets() {
  SealTargets.clear();
  const std::set<JournalId> listed = listedJournals();
  for (auto &[instance, journals] : TakeOverTargets) {
    if (journals)
      continue;
    journals.emplace();
    std::copy_if(
        listed.begin(), listed.end(), std::inserter(*journals, journals->end()),
        [&name = instance](const JournalId &x) { return x.Instance == name; });
  }
  for (const JournalId &it : listed) {
    const auto target = TakeOverTargets.find(it.Instance);
    const bool isTakeOverTarget =
        target != TakeOverTargets.end() && target->second->count(it) > 0;
    const bool isEarlier = it.Instance == Settings.Journal.Instance;
    if ((isEarlier || isTakeOverTarget) && KnownSealed.count(it) == 0)
      SealTargets.push_back(it);
  }
}

// A take-over is complete when the table lists none of its journals.
void ShardManager::endTakeOvers(ShardManagerResult &result) {
  const std::set<JournalId> listed = listedJournals();
  std::erase_if(TakeOverTargets, [&](const auto &x) {
    const bool remains =
        std::any_of(x.second->begin(), x.second->end(),
                    [&](const JournalId &id) { return listed.count(id) > 0; });
    if (!remains)
      result.TakeOvers.push_back({x.first, {}});
    return !remains;
  });
}

void ShardManager::onSealTargetRead(const ReadReply &reply,
                                    ShardManagerResult &result,
                                    core::Millis now) {
  const JournalId target = SealTargets.front();
  const core::Result<JournalHead> head =
      reply->has_value() ? decodeHead((*reply)->Value)
                         : core::Result<JournalHead>(core::Errc::Malformed);
  if (!head) {
    // An absent or damaged journal is no evidence of a seal, so its shards keep
    // their owner.
    SealTargets.pop_front();
    TakeOverTargets.erase(target.Instance);
    result.TakeOvers.push_back({target.Instance, core::Errc::Malformed});
    retryLater(now);
    return;
  }
  if (head->sealed()) {
    SealTargets.pop_front();
    KnownSealed.insert(target);
    result.FoundSealed.push_back(target);
    return;
  }
  SealTargetHead = *head;
  SealTargetRevision = (*reply)->ModifiedAt;
  Step = Phase::SealTarget;
}

void ShardManager::startAdoption(ShardManagerResult &result,
                                 core::Millis claimsAfter) {
  if (Closing || Adopting)
    return;
  std::vector<unsigned> shards;
  std::vector<JournalId> journals;
  for (unsigned i = 0; i < States.size(); ++i) {
    if (States[i] != ShardState::Adopting)
      continue;
    shards.push_back(i);
    for (const JournalId &it : Table->Shards[i].Previous) {
      if (std::find(journals.begin(), journals.end(), it) == journals.end())
        journals.push_back(it);
    }
  }
  if (shards.empty())
    return;
  Adopting.emplace(Settings.Service, std::move(shards), std::move(journals));
  if (Adopting->isDone())
    finishAdoption(result, claimsAfter);
}

void ShardManager::onAdoptionRead(const ReadReply &reply,
                                  ShardManagerResult &result, core::Millis now,
                                  core::Millis claimsAfter) {
  if (!Adopting)
    return;
  // An absent or damaged journal could hide a claim. The shards are not served,
  // and the adoption restarts at the next read of the table.
  if (!reply->has_value() || !Adopting->add((*reply)->Value)) {
    Adopting.reset();
    retryLater(now);
    return;
  }
  if (Adopting->isDone())
    finishAdoption(result, claimsAfter);
}

void ShardManager::finishAdoption(ShardManagerResult &result,
                                  core::Millis claimsAfter) {
  for (const unsigned shard : Adopting->shards()) {
    if (States[shard] != ShardState::Adopting)
      continue;
    ShardReplay replay(Settings.Shards);
    for (const JournalId &journal : Table->Shards[shard].Previous) {
      for (const JournalRecord &record : Adopting->records(journal))
        replay.add(record);
    }
    for (JournalRecord &record : replay.recordsOf(shard, claimsAfter))
      result.AdoptionRecords.push_back(std::move(record));
    result.AdoptionRecords.emplace_back(ShardAdoption{Settings.Service, shard});
    States[shard] = ShardState::Recording;
  }
  Adopting.reset();
}

} // namespace cowslipridge::ledger
