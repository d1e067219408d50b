#pragma once

#include "cowslipridge/backing/Store.hpp"
#include "cowslipridge/core/Error.hpp"

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace cowslipridge::support {

/// The fault injected into one call of the store.
enum class StoreFault {
  None,
  Unavailable, ///< not applied, and the caller is informed
  RequestLost, ///< not applied; the reply is lost
  ReplyLost,   ///< applied; the reply is lost
  Crash,       ///< the caller crashes before the call
  CrashAfter,  ///< the caller crashes after the call took effect
};

/// Thrown by a store call to simulate a crash of the caller at that point.
struct CallerCrashed {};

/// An in-memory store that calls back synchronously and injects faults.
class FaultyStore final : public backing::Store {
public:
  /// Returns the fault of the next call; may itself use the store.
  std::function<StoreFault()> NextFault = [] { return StoreFault::None; };
  /// Called after each change.
  std::function<void()> OnChange = [] {};
  /// Number of calls of the store.
  std::size_t Calls = 0;

  void get(const std::string &key,
           std::function<void(core::Result<std::optional<backing::StoreEntry>>)>
               done) override {
    if (!readable()) {
      done(core::Errc::StoreUnavailable);
      return;
    }
    const auto it = Entries.find(key);
    if (it == Entries.end())
      done(std::optional<backing::StoreEntry>());
    else
      done(std::optional(it->second));
  }

  void list(const std::string &prefix,
            std::function<void(core::Result<std::vector<backing::StoreEntry>>)>
                done) override {
    if (!readable()) {
      done(core::Errc::StoreUnavailable);
      return;
    }
    done(below(prefix));
  }

  void compareAndSwap(const std::string &key, const std::string &value,
                      backing::Revision expected,
                      std::function<void(backing::SwapResult)> done) override {
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
  compareAndDelete(const std::string &key, backing::Revision expected,
                   std::function<void(backing::SwapResult)> done) override {
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

  void
  watch(const std::string &prefix, std::uint64_t /*index*/,
        core::Millis /*wait*/,
        std::function<void(core::Result<backing::WatchResult>)> done) override {
    if (!readable()) {
      done(core::Errc::StoreUnavailable);
      return;
    }
    done(backing::WatchResult{below(prefix), Index});
  }

  /// Returns the entries without injecting faults.
  [[nodiscard]] const std::map<std::string, backing::StoreEntry> &
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
              const std::function<void(backing::SwapResult)> &done) {
    using backing::SwapStatus;
    ++Calls;
    const StoreFault fault = NextFault();
    if (fault == StoreFault::Crash)
      throw CallerCrashed();
    if (fault == StoreFault::Unavailable) {
      done({SwapStatus::Unavailable});
      return;
    }
    if (fault == StoreFault::RequestLost) {
      done({SwapStatus::LostReply});
      return;
    }
    const bool applied = apply();
    if (applied)
      OnChange();
    if (fault == StoreFault::CrashAfter)
      throw CallerCrashed();
    if (fault == StoreFault::ReplyLost)
      done({SwapStatus::LostReply});
    else
      done({applied ? SwapStatus::Swapped : SwapStatus::Mismatch});
  }

  [[nodiscard]] backing::Revision revisionOf(const std::string &key) const {
    const auto it = Entries.find(key);
    return it == Entries.end() ? 0 : it->second.ModifiedAt;
  }

  [[nodiscard]] std::vector<backing::StoreEntry>
  below(const std::string &prefix) const {
    std::vector<backing::StoreEntry> found;
    for (const auto &[key, entry] : Entries) {
      if (key.starts_with(prefix))
        found.push_back(entry);
    }
    return found;
  }

  std::map<std::string, backing::StoreEntry> Entries;
  std::uint64_t Index = 0;
};

} // namespace cowslipridge::support
