#pragma once

#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/platform/StoreProtocol.hpp"
#include "cowslipridge/rollout/RolloutCommand.hpp"

#include <map>
#include <optional>
#include <string>

namespace cowslipridge::platform {

/// Tracks the roll-out records in the store, and builds the transactions that
/// replace them.
///
/// A record has a status, which operators read, a progress, and a marker whose
/// key has a unique id. Each transaction removes the marker of the record that
/// it replaces and requires that it exists. Revisions alone would not do: a
/// store that is restored from an older copy gives them out again, and then
/// another record may have the revision of the one that was read.
class RolloutRecords {
public:
  static std::string statusKey(const std::string &service);
  static std::string progressKey(const std::string &service);
  static std::string markerKey(const std::string &service,
                               const std::string &id);
  /// Each returns the service if the key is of that kind.
  static std::optional<std::string> parseStatusKey(const std::string &key);
  static std::optional<std::string> parseProgressKey(const std::string &key);
  static std::optional<std::string> parseMarkerKey(const std::string &key);

  /// Forgets all records, before a new listing.
  void clear() { Records.clear(); }
  /// Records the revision or deletion of an item if it is part of a record.
  void record(const StoreItem &item);
  /// Returns the transaction that replaces the last received record of a
  /// service. `id` must differ from that of every other transaction.
  [[nodiscard]] StoreTransaction
  replace(const rollout::RolloutStatus &status,
          const rollout::RolloutProgress &progress,
          const std::string &id) const;

private:
  /// The revisions of a record's parts; 0 if a part does not exist.
  struct Record {
    StoreRevision Status = 0;
    StoreRevision Progress = 0;
    std::map<std::string, StoreRevision> Markers; ///< by key
  };

  std::map<std::string, Record> Records; ///< by service
};

std::string writeProgress(const rollout::RolloutProgress &progress);
core::Result<rollout::RolloutProgress> parseProgress(const std::string &service,
                                                     const std::string &text);

} // namespace cowslipridge::platform
