#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Result.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Interfaces to the platform's services, and their implementations.
namespace cowslipridge::backing {

/// The store's modification index of one key; 0 means that the key is absent.
using Revision = std::uint64_t;

struct StoreEntry {
  std::string Key;
  std::string Value;
  Revision ModifiedAt = 0;
};

/// Outcome of a compare-and-swap or compare-and-delete. `LostReply` means that
/// the write may or may not have taken effect: read the key back and compare
/// before continuing.
enum class SwapStatus { Swapped, Mismatch, LostReply, Unavailable };

struct SwapResult {
  SwapStatus Status = SwapStatus::Unavailable;
};

struct WatchResult {
  std::vector<StoreEntry> Entries; ///< all current entries under the prefix
  std::uint64_t Index = 0;         ///< pass to the next watch()
};

/// Interface to the platform's key-value service. Calls do not block or throw.
/// Each callback runs once, on any thread, and must not block.
class Store {
public:
  virtual ~Store() = default;

  /// Fetches the entry under `key`, or nullopt when the key is absent.
  virtual void
  get(const std::string &key,
      std::function<void(core::Result<std::optional<StoreEntry>>)> done) = 0;
  /// Fetches all entries whose key starts with `prefix`, in key order.
  virtual void
  list(const std::string &prefix,
       std::function<void(core::Result<std::vector<StoreEntry>>)> done) = 0;
  /// Writes `value` if the key's revision is still `expected` (0: absent).
  virtual void compareAndSwap(const std::string &key, const std::string &value,
                              Revision expected,
                              std::function<void(SwapResult)> done) = 0;
  /// Removes the key if its revision is still `expected`.
  virtual void compareAndDelete(const std::string &key, Revision expected,
                                std::function<void(SwapResult)> done) = 0;
  /// Completes when an entry under `prefix` changes after `index` (0: at
  /// once), or after `wait`. Counts as one call while it waits.
  virtual void watch(const std::string &prefix, std::uint64_t index,
                     core::Millis wait,
                     std::function<void(core::Result<WatchResult>)> done) = 0;
};

} // namespace cowslipridge::backing
