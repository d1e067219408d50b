#pragma once

#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/http1/LoopTimer.hpp"
#include "cowslipridge/limits/TraitQuarantine.hpp"
#include "cowslipridge/platform/MonitoredStoreClient.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace cowslipridge::platform {

/// Keeps the quarantines that this gateway decided on in the store, so that
/// gateways which start later know them. Each record is written under a lease
/// that ends with its quarantine.
class QuarantineRecords {
public:
  /// `seed` must differ between gateways, so that those which take the same
  /// decision don't write at the same time.
  QuarantineRecords(boost::asio::io_context &loop, const core::Clock &clock,
                    MonitoredStoreClient &store, std::uint64_t seed);

  /// Writes a record, unless another gateway has written it by then. Repeats
  /// the attempt until it succeeds.
  void write(const limits::QuarantinedTrait &quarantined);
  /// Returns the trait of a record with the rest of its time; nothing if the
  /// item is no valid record.
  [[nodiscard]] std::optional<limits::QuarantinedTrait>
  parse(const StoreItem &item) const;
  /// Returns whether the key is one of a record.
  static bool isRecordKey(const std::string &key);
  /// Handles a change of the store: writes a lost record again.
  void onItem(const StoreItem &item);
  /// Handles that the store has lost its latest changes.
  void onRestored();

private:
  struct Record {
    std::string Value;
    core::Millis Until; ///< monotonic
  };

  void schedule(core::Millis delay);
  void writeMissing();
  void requestLease(const std::string &key, const Record &record);
  void writeRecord(const std::string &key, const Record &record, LeaseId lease);
  void onFailed();

  const core::Clock &Clock;
  MonitoredStoreClient &Store;
  http1::LoopTimer Timer;
  core::Random JitterRandom;
  std::map<std::string, Record> Own; ///< by key
  std::set<std::string> Stored;      ///< keys that the store holds
};

} // namespace cowslipridge::platform
