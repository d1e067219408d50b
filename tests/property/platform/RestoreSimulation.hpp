#pragma once

#include "cowslipridge/platform/RolloutRecords.hpp"
#include "cowslipridge/rollout/TrialControl.hpp"
#include "standins/platform/MetadataStore.hpp"

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace cowslipridge::platform {

/// Simulates gateways that drive one roll-out through a store which is restored
/// from older copies. Calls and responses may be delayed by any time.
class RestoreSimulation {
public:
  static constexpr std::size_t GatewayCount = 3;

  /// If not `guarded`, transactions compare revisions alone.
  explicit RestoreSimulation(bool guarded);

  void advance(core::Millis time) { Now = Now + time; }
  /// A gateway receives the changes since its last call, or lists.
  void sync(std::size_t gateway);
  /// A gateway sends the next record, if one is due.
  void decide(std::size_t gateway);
  /// The store executes the oldest delayed transaction.
  void execute();
  /// One gateway receives the report of another.
  void report(std::size_t from, std::size_t to);
  /// The gateway is replaced by a new process.
  void restart(std::size_t gateway);
  void copyStore();
  /// Restores the store from one of the last copies.
  void restore(std::size_t copy);
  /// The operator writes its command, or writes it again.
  void command();
  /// Runs until everything has settled, without further faults.
  void settle();

  /// Returns what is wrong, or nothing.
  [[nodiscard]] const std::optional<std::string> &violation() const {
    return Violation;
  }

private:
  struct Gateway {
    std::optional<rollout::TrialControl> Trials;
    RolloutRecords Records;
    std::optional<StorePosition> Position;
    std::optional<rollout::RolloutKnowledge> Known;
    core::Millis StartedAt;
  };
  /// The record that a gateway read or that the store holds.
  struct RecordText {
    std::string Status;
    std::string Progress;
    friend auto operator<=>(const RecordText &, const RecordText &) = default;
  };
  struct DelayedTransaction {
    StoreTransaction Transaction;
    RecordText Read;
  };

  void list(Gateway &gateway);
  void applyChange(Gateway &gateway, const StoreItem &item);
  void checkNeverBack(Gateway &gateway);
  [[nodiscard]] RecordText
  recordIn(const standins::platform::MetadataStore &store) const;
  void fail(const std::string &what);

  bool Guarded;
  core::Millis Now;
  standins::platform::MetadataStore Store;
  std::vector<standins::platform::MetadataStore> Copies;
  std::array<Gateway, GatewayCount> Gateways;
  /// What each gateway has read of the record; parallel to Gateways.
  std::array<RecordText, GatewayCount> ReadRecords;
  std::vector<DelayedTransaction> Delayed;
  unsigned LastId = 0;
  std::optional<std::string> Violation;
};

} // namespace cowslipridge::platform
