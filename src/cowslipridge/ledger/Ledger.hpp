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
  std::size_t MaxBufferedBills = 20'000; ///< during a store outage
  std::size_t MaxStoredAnswerBytes = 4'096;
  unsigned FleetWritesPerSecond = 250; ///< of all ledgers together
};

/// The ledger of a sidecar: runs a JournalStateMachine with a store, a clock
/// and a timer thread. All methods are thread-safe and never block; callbacks
/// are called on any thread.
class Ledger {
public:
  Ledger(LedgerSettings settings, std::shared_ptr<backing::Store> store,
         const core::Clock &clock, observe::EventLog &events);
  ~Ledger();

  /// Opens the journal head of this incarnation and starts committing.
  void start(std::function<void(std::error_code)> done);
  /// Requests the right to run a non-idempotent call.
  void claim(const Claim &claim, std::function<void(ClaimDecision)> done);
  /// Reports the outcome of a call that claim() found to be running. If its
  /// claim is refused later, the outcome is Outcome::NotRun; if the claim is no
  /// longer known when this is called, Outcome::Unknown.
  void attach(const IdempotencyKey &key,
              std::function<void(ClaimOutcome)> done);
  /// Records the outcome of a claimed call. Calls `done` when the outcome is
  /// committed, or when it can no longer be committed because a take-over
  /// sealed the journal.
  void recordOutcome(const ClaimOutcome &outcome, std::function<void()> done);
  /// Bills one request. The bill is kept in memory until it is committed; then
  /// `done` is called.
  void bill(
      const Bill &bill, std::function<void()> done = [] {});
  /// Reports the version to which a session id without a version is pinned;
  /// pins `wanted` if there is none.
  void pin(const SessionPin &wanted,
           std::function<void(core::Result<SessionPin>)> done);
  /// Returns the owner of a key's shard as last read; empty if there is none.
  [[nodiscard]] core::InstanceId ownerOf(const IdempotencyKey &key) const;
  /// Takes over from an instance that is suspected to have failed: seals its
  /// journals, so that its shards may be claimed. Safe if the instance is
  /// alive.
  void takeOver(const core::InstanceId &dead,
                std::function<void(std::error_code)> done);
  /// Commits all records, seals the journal and releases all shards; then calls
  /// `done`.
  void close(std::function<void()> done);
  /// Returns the number of records that are not yet committed.
  [[nodiscard]] std::size_t pending() const;
  /// Returns false if MaxBufferedBills is reached; billable work must then be
  /// refused. bill() itself never drops a bill.
  [[nodiscard]] bool hasCapacity() const;
  /// Sets the number of ledgers that share the store's write budget, as given
  /// by the instance list.
  void setFleetSize(std::size_t ledgers);

private:
  class Impl;
  std::shared_ptr<Impl> Internals;
};

} // namespace cowslipridge::ledger
