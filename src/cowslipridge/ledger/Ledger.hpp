#pragma once

#include "cowslipridge/backing/Store.hpp"
#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/ledger/ClaimDecision.hpp"
#include "cowslipridge/ledger/Records.hpp"
#include "cowslipridge/ledger/ShardHash.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cowslipridge::observe {
class EventLog;
} // namespace cowslipridge::observe

namespace cowslipridge::ledger {

struct LedgerSettings {
  core::InstanceId Instance;
  core::Incarnation Start;
  core::ServiceId Service;
  unsigned Shards = 64;
  core::Millis DedupWindow{600'000};
  core::Millis MinCommitInterval{2};
  core::Millis MaxCommitInterval{1'000};
  std::size_t MaxBufferedBills = 20'000; ///< held while the store is down
  std::size_t MaxStoredAnswerBytes = 4'096;
  unsigned FleetWritesPerSecond = 250; ///< commits of all ledgers together
};

/// Shell around the journal decisions: the one ledger of a sidecar. All
/// methods are thread-safe and never block; callbacks come on any thread.
class Ledger {
public:
  Ledger(LedgerSettings settings, std::shared_ptr<backing::Store> store,
         const core::Clock &clock, observe::EventLog &events);
  ~Ledger();

  /// Opens the journal head of this incarnation and starts committing.
  void start(std::function<void(std::error_code)> done);
  /// Asks for the right to run a non-idempotent call.
  void claim(const Claim &claim, std::function<void(ClaimDecision)> done);
  /// Hears the outcome of a call that claim() found running. A claim that is
  /// refused after all ends as Outcome::NotRun.
  void attach(const IdempotencyKey &key,
              std::function<void(ClaimOutcome)> done);
  /// The claimed call ended; `done` when that is in the journal, or when a
  /// take-over has sealed the journal and it never will be.
  void recordOutcome(const ClaimOutcome &outcome, std::function<void()> done);
  /// Bills one request; kept in memory until it is in the journal. `done` when
  /// it is there.
  void bill(
      const Bill &bill, std::function<void()> done = [] {});
  /// The version pinned to a bare session id; pins `wanted` if there is none.
  void pin(const SessionPin &wanted,
           std::function<void(core::Result<SessionPin>)> done);
  /// Who owns a key's shard, as last read; empty when nobody is known.
  [[nodiscard]] core::InstanceId ownerOf(const IdempotencyKey &key) const;
  /// Suggests that an instance is dead: seals its journal and takes a part of
  /// its shards. Safe when it is alive.
  void takeOver(const core::InstanceId &dead,
                std::function<void(std::error_code)> done);
  /// Writes out all records and gives up all shards; `done` when written.
  void close(std::function<void()> done);
  /// Records not yet in the journal.
  [[nodiscard]] std::size_t pending() const;
  /// False when the bound on buffered bills is reached: refuse billable work.
  /// bill() itself never drops one.
  [[nodiscard]] bool hasCapacity() const;
  /// How many ledgers share the store's write budget; from the instance list.
  void setFleetSize(std::size_t ledgers);

private:
  class Impl;
  std::shared_ptr<Impl> Internals;
};

} // namespace cowslipridge::ledger
