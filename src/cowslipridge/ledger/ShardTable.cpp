#include "cowslipridge/ledger/ShardTable.hpp"

#include "cowslipridge/core/Error.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace cowslipridge::ledger {

namespace {

using Json = nlohmann::json;

JournalId journalOf(const Json &json) {
  const auto id = parseJournalId(json.get<std::string>());
  if (!id)
    throw std::invalid_argument("journal");
  return *id;
}

Json encodeEntry(const ShardEntry &entry) {
  Json previous = Json::array();
  for (const JournalId &it : entry.Previous)
    previous.push_back(toString(it));
  return {{"owner", entry.Owner ? toString(*entry.Owner) : ""},
          {"previous", std::move(previous)}};
}

ShardEntry decodeEntry(const Json &json) {
  ShardEntry entry;
  if (!json.at("owner").get<std::string>().empty())
    entry.Owner = journalOf(json.at("owner"));
  for (const Json &it : json.at("previous"))
    entry.Previous.push_back(journalOf(it));
  return entry;
}

void removeOwner(ShardEntry &entry) {
  if (entry.Previous.empty() || entry.Previous.back() != *entry.Owner)
    entry.Previous.push_back(*entry.Owner);
  entry.Owner.reset();
}

// The records of earlier owners are replayed in the order of `Previous`. A
// journal that owned the shard before another one must not own it again until
// `Previous` was cleared, because its newer records would be replayed before
// those of the other journal.
bool mayOwn(const ShardEntry &entry, const JournalId &owner) {
  const auto &previous = entry.Previous;
  const auto it = std::find(previous.begin(), previous.end(), owner);
  return it == previous.end() || previous.size() == 1;
}

} // namespace

std::string encodeTable(const ShardTable &table) {
  Json json = {{"members", Json::array()}, {"shards", Json::array()}};
  for (const JournalId &it : table.Members)
    json["members"].push_back(toString(it));
  for (const ShardEntry &it : table.Shards)
    json["shards"].push_back(encodeEntry(it));
  return json.dump();
}

core::Result<ShardTable> decodeTable(const std::string &text) {
  try {
    const Json json = Json::parse(text);
    ShardTable table;
    for (const Json &it : json.at("members"))
      table.Members.insert(journalOf(it));
    for (const Json &it : json.at("shards"))
      table.Shards.push_back(decodeEntry(it));
    return table;
  } catch (const Json::exception &) {
    return core::Errc::Malformed;
  } catch (const std::invalid_argument &) {
    return core::Errc::Malformed;
  }
}

std::size_t fairShare(const ShardTable &table) {
  const std::size_t members = std::max<std::size_t>(1, table.Members.size());
  return (table.Shards.size() + members - 1) / members;
}

std::size_t ownedBy(const ShardTable &table, const JournalId &owner) {
  return static_cast<std::size_t>(
      std::count_if(table.Shards.begin(), table.Shards.end(),
                    [&](const ShardEntry &x) { return x.Owner == owner; }));
}

bool hasMemberBelowShare(const ShardTable &table) {
  const std::size_t members = std::max<std::size_t>(1, table.Members.size());
  const std::size_t floor = table.Shards.size() / members;
  return std::any_of(
      table.Members.begin(), table.Members.end(),
      [&](const JournalId &x) { return ownedBy(table, x) < floor; });
}

void removeSealed(ShardTable &table, const JournalId &sealed) {
  table.Members.erase(sealed);
  for (ShardEntry &it : table.Shards) {
    if (it.Owner == sealed)
      removeOwner(it);
  }
}

void removeReleased(ShardTable &table, const JournalId &owner, unsigned shard) {
  if (shard < table.Shards.size() && table.Shards[shard].Owner == owner)
    removeOwner(table.Shards[shard]);
}

void assignOwnerless(ShardTable &table, const JournalId &owner,
                     std::size_t limit) {
  std::size_t owned = ownedBy(table, owner);
  for (ShardEntry &it : table.Shards) {
    if (owned >= limit)
      return;
    if (it.Owner || !mayOwn(it, owner))
      continue;
    it.Owner = owner;
    ++owned;
  }
}

} // namespace cowslipridge::ledger
