#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Result.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Ports to the platform's services, and their adapters.
namespace cowslipridge::backing {

/// The store's counter of changes to one key; 0 means that the key is absent.
using Revision = std::uint64_t;

struct StoreEntry {
  std::string Key;
  std::string Value;
  Revision ModifiedAt = 0;
};

/// What a compare-and-swap did. `LostReply` means that the write may or may
/// not have taken effect: read back and compare before going on.
enum class SwapStatus { Swapped, Mismatch, LostReply, Unavailable };

struct SwapResult {
  SwapStatus Status = SwapStatus::Unavailable;
};

struct WatchResult {
  std::vector<StoreEntry> Entries; ///< all keys under the watched prefix now
  std::uint64_t Index = 0;         ///< pass to the next watch()
};

/// Port to the platform's key-value service. Calls never block and never
/// throw; callbacks come on any thread, once each, and must not block.
class Store {
public:
  virtual ~Store() = default;

  /// The entry under `key`, or nothing when the key is absent.
  virtual void
  get(const std::string &key,
      std::function<void(core::Result<std::optional<StoreEntry>>)> done) = 0;
  /// All entries whose key begins with `prefix`, in key order.
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
  /// Answers when something under `prefix` changed after `index` (0: at once),
  /// or after `wait`. Counts as one call for as long as it waits.
  virtual void watch(const std::string &prefix, std::uint64_t index,
                     core::Millis wait,
                     std::function<void(core::Result<WatchResult>)> done) = 0;
};

} // namespace cowslipridge::backing
