#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/ledger/StoreCommand.hpp"

#include <functional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

/// Measures the load of the ledgers on the key-value service.
namespace cowslipridge::store_economy {

/// Runs functions in order of simulated time.
class Timeline {
public:
  [[nodiscard]] core::Millis now() const { return Now; }
  void at(core::Millis time, std::function<void()> task);
  void runUntil(core::Millis end);

private:
  struct Task {
    core::Millis At;
    std::uint64_t Order = 0;
    std::function<void()> Run;
    bool operator<(const Task &other) const {
      return At != other.At ? At > other.At : Order > other.Order;
    }
  };
  core::Millis Now;
  std::uint64_t NextOrder = 0;
  std::priority_queue<Task> Tasks;
};

struct StoreCounts {
  std::uint64_t Writes = 0;
  std::uint64_t Reads = 0;
  std::uint64_t Mismatches = 0;
  std::uint64_t Bytes = 0; ///< size of the values written and read
};

/// In-memory store that responds after a simulated delay of a few milliseconds
/// and counts its calls.
class CountingStore {
public:
  CountingStore(Timeline &timeline, std::uint64_t seed)
      : Time(timeline), Random(seed) {}

  void call(ledger::StoreCommand command,
            const std::function<void(ledger::StoreReply)> &done);
  /// Returns the counts since the previous call and resets them.
  StoreCounts takeCounts() { return std::exchange(Counts, {}); }

private:
  ledger::StoreReply apply(const ledger::StoreCommand &command);

  Timeline &Time;
  core::Random Random;
  StoreCounts Counts;
  backing::Revision LastRevision = 0;
  std::unordered_map<std::string, backing::StoreEntry> Entries;
};

} // namespace cowslipridge::store_economy
