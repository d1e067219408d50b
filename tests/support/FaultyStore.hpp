#pragma once

#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/platform/Store.hpp"

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace cowslipridge::support {

/// What happens to one call of the store.
enum class StoreFault {
  None,
  Unavailable, ///< not applied, and the caller knows
  LostBefore,  ///< not applied; the reply is lost
  LostAfter,   ///< applied; the reply is lost
  Crash,       ///< the caller dies before the call
  CrashAfter,  ///< the caller dies after the call took effect
};

/// Thrown out of a store's call to end the caller there.
struct CallerCrashed {};

/// A store in memory that answers within the call and injects faults.
class FaultyStore final : public platform::Store {
public:
  /// Asked before each call; may itself use the store.
  std::function<StoreFault()> NextFault = [] { return StoreFault::None; };
  /// Told after each change.
  std::function<void()> OnChange = [] {};
  /// Counts all calls.
  std::size_t Calls = 0;

  void
  get(const std::string &key,
      std::function<void(core::Result<std::optional<platform::StoreEntry>>)>
          done) override {
    if (!readable()) {
      done(core::Errc::StoreUnavailable);
      return;
    }
    const auto it = Entries.find(key);
    if (it == Entries.end())
      done(std::optional<platform::StoreEntry>());
    else
      done(std::optional(it->second));
  }

  void list(const std::string &prefix,
            std::function<void(core::Result<std::vector<platform::StoreEntry>>)>
                done) override {
    if (!readable()) {
      done(core::Errc::StoreUnavailable);
      return;
    }
    done(below(prefix));
  }

  void compareAndSwap(const std::string &key, const std::string &value,
                      platform::Revision expected,
                      std::function<void(platform::SwapResult)> done) override {
    change(
        [&] {
          if (revisionOf(key) != expected)
            return false;
          Entries[key] = {key, value, ++Index};
          return true;
        },
        done);
  }

  void
  compareAndDelete(const std::string &key, platform::Revision expected,
                   std::function<void(platform::SwapResult)> done) override {
    change(
        [&] {
          if (revisionOf(key) != expected)
            return false;
          Entries.erase(key);
          ++Index;
          return true;
        },
        done);
  }

  void watch(
      const std::string &prefix, std::uint64_t /*index*/, core::Millis /*wait*/,
      std::function<void(core::Result<platform::WatchResult>)> done) override {
    if (!readable()) {
      done(core::Errc::StoreUnavailable);
      return;
    }
    done(platform::WatchResult{below(prefix), Index});
  }

  /// Sees the entries without faults.
  [[nodiscard]] const std::map<std::string, platform::StoreEntry> &
  entries() const {
    return Entries;
  }

private:
  bool readable() {
    ++Calls;
    switch (NextFault()) {
    case StoreFault::Crash:
    case StoreFault::CrashAfter:
      throw CallerCrashed();
    case StoreFault::None:
      return true;
    default:
      return false;
    }
  }

  void change(const std::function<bool()> &apply,
              const std::function<void(platform::SwapResult)> &done) {
    using platform::SwapStatus;
    ++Calls;
    const StoreFault fault = NextFault();
    if (fault == StoreFault::Crash)
      throw CallerCrashed();
    if (fault == StoreFault::Unavailable) {
      done({SwapStatus::Unavailable});
      return;
    }
    if (fault == StoreFault::LostBefore) {
      done({SwapStatus::LostReply});
      return;
    }
    const bool applied = apply();
    if (applied)
      OnChange();
    if (fault == StoreFault::CrashAfter)
      throw CallerCrashed();
    if (fault == StoreFault::LostAfter)
      done({SwapStatus::LostReply});
    else
      done({applied ? SwapStatus::Swapped : SwapStatus::Mismatch});
  }

  [[nodiscard]] platform::Revision revisionOf(const std::string &key) const {
    const auto it = Entries.find(key);
    return it == Entries.end() ? 0 : it->second.ModifiedAt;
  }

  [[nodiscard]] std::vector<platform::StoreEntry>
  below(const std::string &prefix) const {
    std::vector<platform::StoreEntry> found;
    for (const auto &[key, entry] : Entries) {
      if (key.starts_with(prefix))
        found.push_back(entry);
    }
    return found;
  }

  std::map<std::string, platform::StoreEntry> Entries;
  std::uint64_t Index = 0;
};

} // namespace cowslipridge::support
