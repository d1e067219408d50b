#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/ledger/StoreCommand.hpp"

#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

namespace cowslipridge::ledger::simulation {

/// Runs functions in order of simulated time.
class Timeline {
public:
  [[nodiscard]] core::Millis now() const { return Now; }
  void after(core::Millis delay, std::function<void()> task);
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

/// Probabilities of faults per call, in percent.
struct StoreFaults {
  int LostRequest = 0; ///< the write never takes effect; no reply
  int LostReply = 0;   ///< the write takes effect; no reply
  int LateEffect = 0;  ///< no reply; the write takes effect much later
  int Duplicate = 0;   ///< the write is applied a second time, later
  int Unavailable = 0;
  core::Millis MaxDelay{5};
};

/// The mechanism that the test disables, to show that a property depends on it.
enum class Omission {
  None,
  ClaimCommit,   ///< calls run before their claim is committed
  Sealing,       ///< a take-over does not really seal
  LostReplies,   ///< a lost reply is treated as success
  Adoption,      ///< a new owner does not read earlier claims
  TableRevision, ///< the shard table is overwritten without comparison
  BillKeys,      ///< bills are counted without their request ids
};

/// A linearizable key-value store behind an unreliable network.
class SimulatedStore {
public:
  SimulatedStore(Timeline &timeline, std::uint64_t seed, StoreFaults faults,
                 Omission omission);

  /// `isOwner` is whether the caller owns the journal to which the key belongs.
  void call(const StoreCommand &command, bool isOwner,
            const std::function<void(StoreReply)> &done);
  void setFaults(StoreFaults faults) { Faults = faults; }
  void setDown(bool down) { IsDown = down; }
  [[nodiscard]] const std::map<std::string, backing::StoreEntry> &
  entries() const {
    return Entries;
  }
  [[nodiscard]] std::uint64_t calls() const { return CallCount; }

private:
  bool occurs(int percent);
  core::Millis delay();
  bool apply(const SwapKey &swap);
  bool fakesSeal(const SwapKey &swap, bool isOwner);
  ReadReply read(const std::string &key, bool isOwner) const;
  void swap(const SwapKey &command, bool isOwner,
            const std::function<void(StoreReply)> &done);
  void loseReply(const std::function<void(StoreReply)> &done);

  Timeline &Time;
  core::Random Random;
  StoreFaults Faults;
  Omission Omitted;
  bool IsDown = false;
  std::uint64_t CallCount = 0;
  backing::Revision LastRevision = 0;
  std::map<std::string, backing::StoreEntry> Entries;
  std::map<std::string, std::string> FakeSeals;
};

} // namespace cowslipridge::ledger::simulation
