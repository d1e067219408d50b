#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/ledger/Records.hpp"
#include "cowslipridge/ledger/ShardHash.hpp"

#include <map>
#include <optional>
#include <vector>

namespace cowslipridge::ledger {

enum class ClaimState {
  Committing, ///< the claim is on its way into the journal
  Running,    ///< committed; the call runs or is about to
  Completed,  ///< the outcome is known
};

struct ClaimEntry {
  Claim Claimed;
  ClaimState State = ClaimState::Committing;
  ClaimOutcome Outcome; ///< when Settled
};

struct PinEntry {
  SessionPin Pin;
  bool Committed = false;
};

/// What a sidecar knows of the claims and pins of the shards that it serves.
class ClaimTable {
public:
  explicit ClaimTable(unsigned shards) : Shards(shards) {}

  [[nodiscard]] ClaimEntry *find(const IdempotencyKey &key);
  void begin(const Claim &claim);
  /// The key is free again: the call never ran.
  void erase(const IdempotencyKey &key);
  void recordOutcome(const ClaimOutcome &outcome);
  [[nodiscard]] PinEntry *findPin(const SessionPin &pin);
  void beginPin(const SessionPin &pin);

  /// Whether some claim of the shard has no outcome yet.
  [[nodiscard]] bool hasIncompleteClaims(unsigned shard) const;
  /// Forgets a shard that another sidecar serves from now on.
  void removeShard(unsigned shard);
  void clear();
  /// Forgets settled claims made before `before` (wall time).
  void expire(core::Millis before);

private:
  using ClaimMap = std::map<IdempotencyKey, ClaimEntry>;
  using PinMap = std::map<IdempotencyKey, PinEntry>;

  unsigned Shards;
  ClaimMap Claims;
  PinMap Pins;
};

/// Folds the records of one or more journals, oldest first, into what a new
/// owner of some shards must know.
class ShardFold {
public:
  explicit ShardFold(unsigned shards) : Shards(shards) {}

  void add(const JournalRecord &record);
  /// Records that carry the shard's claims made after `after` (wall time) and
  /// its pins. A claim without an outcome gets Outcome::Unknown, finally.
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
