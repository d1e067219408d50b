#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/ledger/Records.hpp"
#include "cowslipridge/ledger/ShardHash.hpp"

#include <map>
#include <optional>
#include <vector>

namespace cowslipridge::ledger {

enum class ClaimState {
  Committing, ///< the claim is not yet committed
  Running,    ///< the claim is committed; the call runs
  Completed,  ///< the outcome is known
};

struct ClaimEntry {
  Claim Claimed;
  ClaimState State = ClaimState::Committing;
  ClaimOutcome Outcome; ///< when Completed
};

struct PinEntry {
  SessionPin Pin;
  bool Committed = false;
};

/// The claims and pins of the shards that a sidecar serves.
class ClaimTable {
public:
  explicit ClaimTable(unsigned shards) : Shards(shards) {}

  [[nodiscard]] ClaimEntry *find(const IdempotencyKey &key);
  void begin(const Claim &claim);
  /// Removes a claim whose call never ran, so that the key may be claimed
  /// again.
  void erase(const IdempotencyKey &key);
  void recordOutcome(const ClaimOutcome &outcome);
  [[nodiscard]] PinEntry *findPin(const SessionPin &pin);
  void beginPin(const SessionPin &pin);

  /// Returns whether some claim of the shard has no outcome yet.
  [[nodiscard]] bool hasIncompleteClaims(unsigned shard) const;
  /// Removes the claims and pins of a shard that this sidecar has released.
  void removeShard(unsigned shard);
  void clear();
  /// Removes completed claims made before `before` (wall time).
  void expire(core::Millis before);

private:
  using ClaimMap = std::map<IdempotencyKey, ClaimEntry>;
  using PinMap = std::map<IdempotencyKey, PinEntry>;

  unsigned Shards;
  ClaimMap Claims;
  PinMap Pins;
};

/// Replays the records of one or more journals, oldest first, to find the
/// claims and pins that the new owner of a shard must copy.
class ShardReplay {
public:
  explicit ShardReplay(unsigned shards) : Shards(shards) {}

  void add(const JournalRecord &record);
  /// Returns the records of the shard's pins and of its claims made at or after
  /// `after` (wall time). A claim without an outcome gets Outcome::Unknown,
  /// which is final.
  [[nodiscard]] std::vector<JournalRecord> recordsOf(unsigned shard,
                                                     core::Millis after) const;

private:
  struct ClaimStatus {
    Claim Claimed;
    std::optional<ClaimOutcome> Outcome;
  };

  void addOutcome(const ClaimOutcome &outcome);

  unsigned Shards;
  std::map<IdempotencyKey, ClaimStatus> Statuses;
  std::map<IdempotencyKey, SessionPin> Pins;
};

} // namespace cowslipridge::ledger
