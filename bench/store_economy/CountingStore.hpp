#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/ledger/StoreCommand.hpp"

#include <functional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

/// Experiments on the ledgers' load on the key-value service.
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
  std::uint64_t LastOrder = 0;
  std::priority_queue<Task> Tasks;
};

struct StoreCounts {
  std::uint64_t Writes = 0;
  std::uint64_t Reads = 0;
  std::uint64_t Mismatches = 0;
  std::uint64_t Bytes = 0; ///< values written and read
};

/// A store in memory that answers after a few milliseconds and counts.
class CountingStore {
public:
  CountingStore(Timeline &timeline, std::uint64_t seed)
      : Time(timeline), Random(seed) {}

  void call(ledger::StoreCommand command,
            const std::function<void(ledger::StoreReply)> &done);
  StoreCounts takeCounts() { return std::exchange(Counts, {}); }

private:
  ledger::StoreReply apply(const ledger::StoreCommand &command);

  Timeline &Time;
  core::Random Random;
  StoreCounts Counts;
  backing::Revision Last = 0;
  std::unordered_map<std::string, backing::StoreEntry> Entries;
};

} // namespace cowslipridge::store_economy
