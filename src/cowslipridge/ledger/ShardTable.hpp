#pragma once

#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/ledger/JournalId.hpp"

#include <compare>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cowslipridge::ledger {

/// The owner of one shard, and the journals whose records its next owner must
/// adopt.
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
/// Decodes a table written by encodeTable(). Returns Errc::Malformed for any
/// other text.
core::Result<ShardTable> decodeTable(const std::string &text);

/// Returns the number of shards that each member should own, rounded up.
std::size_t fairShare(const ShardTable &table);
std::size_t ownedBy(const ShardTable &table, const JournalId &owner);
/// Returns whether some member owns less than its share, rounded down.
bool hasMemberBelowShare(const ShardTable &table);

/// Removes a sealed journal from the members and as the owner of its shards.
void removeSealed(ShardTable &table, const JournalId &sealed);
/// Removes the owner of a shard that it has released in its journal.
void removeReleased(ShardTable &table, const JournalId &owner, unsigned shard);
/// Assigns shards without an owner to `owner` until it owns `limit` shards.
/// Skips a shard that it owned before another journal whose records are not yet
/// adopted.
void assignOwnerless(ShardTable &table, const JournalId &owner,
                     std::size_t limit);

} // namespace cowslipridge::ledger
