#include "cowslipridge/ledger/ClaimTable.hpp"

#include "cowslipridge/core/Visit.hpp"

#include <algorithm>

namespace cowslipridge::ledger {

ClaimEntry *ClaimTable::find(const IdempotencyKey &key) {
  const auto it = Claims.find(key);
  return it == Claims.end() ? nullptr : &it->second;
}

void ClaimTable::begin(const Claim &claim) {
  Claims[claim.Key] = {claim, ClaimState::Committing, {}};
}

void ClaimTable::erase(const IdempotencyKey &key) { Claims.erase(key); }

void ClaimTable::recordOutcome(const ClaimOutcome &outcome) {
  ClaimEntry &entry = Claims[outcome.Key];
  entry.Claimed.Key = outcome.Key;
  entry.State = ClaimState::Completed;
  entry.Outcome = outcome;
}

PinEntry *ClaimTable::findPin(const SessionPin &pin) {
  const auto it = Pins.find(pinKey(pin));
  return it == Pins.end() ? nullptr : &it->second;
}

void ClaimTable::beginPin(const SessionPin &pin) {
  Pins[pinKey(pin)] = {pin, false};
}

bool ClaimTable::hasIncompleteClaims(unsigned shard) const {
  return std::any_of(Claims.begin(), Claims.end(), [&](const auto &x) {
    return x.second.State != ClaimState::Completed &&
           shardOf(x.first, Shards) == shard;
  });
}

void ClaimTable::removeShard(unsigned shard) {
  std::erase_if(
      Claims, [&](const auto &x) { return shardOf(x.first, Shards) == shard; });
  std::erase_if(
      Pins, [&](const auto &x) { return shardOf(x.first, Shards) == shard; });
}

void ClaimTable::clear() {
  Claims.clear();
  Pins.clear();
}

void ClaimTable::expire(core::Millis before) {
  std::erase_if(Claims, [&](const auto &x) {
    return x.second.State == ClaimState::Completed &&
           x.second.Claimed.At < before;
  });
}

void ShardReplay::add(const JournalRecord &record) {
  std::visit(core::Overloaded{
                 [&](const Claim &x) {
                   Statuses[x.Key] = {x, std::nullopt};
                 },
                 [&](const ClaimOutcome &x) { addOutcome(x); },
                 [&](const SessionPin &x) { Pins.try_emplace(pinKey(x), x); },
                 [](const Bill &) {}, [](const ShardRelease &) {},
                 [](const ShardAdoption &) {}},
             record);
}

void ShardReplay::addOutcome(const ClaimOutcome &outcome) {
  const auto it = Statuses.find(outcome.Key);
  if (it == Statuses.end())
    return;
  if (outcome.Result == core::Outcome::NotRun)
    Statuses.erase(it);
  else
    it->second.Outcome = outcome;
}

std::vector<JournalRecord> ShardReplay::recordsOf(unsigned shard,
                                                  core::Millis after) const {
  std::vector<JournalRecord> records;
  for (const auto &[key, status] : Statuses) {
    if (shardOf(key, Shards) != shard || status.Claimed.At < after)
      continue;
    records.emplace_back(status.Claimed);
    const ClaimOutcome unknown{key, core::Outcome::Unknown, 0, {}};
    records.emplace_back(status.Outcome.value_or(unknown));
  }
  for (const auto &[key, pin] : Pins) {
    if (shardOf(key, Shards) == shard)
      records.emplace_back(pin);
  }
  return records;
}

} // namespace cowslipridge::ledger
