#pragma once

#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/ledger/JournalId.hpp"

#include <compare>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cowslipridge::ledger {

/// Who owns one shard, and whose records its next owner must adopt.
struct ShardEntry {
  std::optional<JournalId> Owner;
  /// Journals that owned the shard and have released it or were sealed, oldest
  /// first; cleared once an owner has adopted their records.
  std::vector<JournalId> Previous;
  friend auto operator<=>(const ShardEntry &, const ShardEntry &) = default;
};

/// The stored table of one service's shards.
struct ShardTable {
  std::vector<ShardEntry> Shards;
  std::set<JournalId> Members; ///< journals that share the shards
  friend auto operator<=>(const ShardTable &, const ShardTable &) = default;
};

std::string encodeTable(const ShardTable &table);
/// The table, or Errc::Malformed.
core::Result<ShardTable> decodeTable(const std::string &text);

/// Shards that each member should own, rounded up.
std::size_t fairShare(const ShardTable &table);
std::size_t ownedBy(const ShardTable &table, const JournalId &owner);
/// Whether some member owns less than its share, rounded down.
bool hasMemberBelowShare(const ShardTable &table);

/// Gives up all shards of a journal that is sealed, and its membership.
void removeSealed(ShardTable &table, const JournalId &sealed);
/// Gives up one shard that its owner has released in its journal.
void removeReleased(ShardTable &table, const JournalId &owner, unsigned shard);
/// Takes ownerless shards until `owner` has `limit`. Skips a shard that it
/// owned before another sidecar whose records are not adopted yet.
void assignOwnerless(ShardTable &table, const JournalId &owner,
                     std::size_t limit);

} // namespace cowslipridge::ledger
