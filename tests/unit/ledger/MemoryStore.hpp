#pragma once

#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/platform/Store.hpp"

#include <atomic>
#include <map>
#include <mutex>

namespace cowslipridge::ledger {

/// A store in memory that answers at once; can be taken down.
class MemoryStore final : public platform::Store {
public:
  std::atomic<bool> Down = false;

  void
  get(const std::string &key,
      std::function<void(core::Result<std::optional<platform::StoreEntry>>)>
          done) override {
    if (Down)
      done(core::Errc::StoreUnavailable);
    else
      done(find(key));
  }
  void list(const std::string &prefix,
            std::function<void(core::Result<std::vector<platform::StoreEntry>>)>
                done) override {
    std::vector<platform::StoreEntry> found;
    {
      const std::lock_guard lock(Guard);
      for (const auto &[key, entry] : Entries) {
        if (key.rfind(prefix, 0) == 0)
          found.push_back(entry);
      }
    }
    if (Down)
      done(core::Errc::StoreUnavailable);
    else
      done(found);
  }
  void compareAndSwap(const std::string &key, const std::string &value,
                      platform::Revision expected,
                      std::function<void(platform::SwapResult)> done) override {
    done({Down ? platform::SwapStatus::Unavailable
               : swap(key, value, expected)});
  }
  void
  compareAndDelete(const std::string &, platform::Revision,
                   std::function<void(platform::SwapResult)> done) override {
    done({platform::SwapStatus::Unavailable});
  }
  void watch(
      const std::string &, std::uint64_t, core::Millis,
      std::function<void(core::Result<platform::WatchResult>)> done) override {
    done(core::Errc::StoreUnavailable);
  }
  std::optional<platform::StoreEntry> find(const std::string &key) {
    const std::lock_guard lock(Guard);
    const auto it = Entries.find(key);
    return it == Entries.end() ? std::nullopt : std::optional(it->second);
  }
  platform::SwapStatus swap(const std::string &key, const std::string &value,
                            platform::Revision expected) {
    const std::lock_guard lock(Guard);
    const auto it = Entries.find(key);
    if ((it == Entries.end() ? 0 : it->second.ModifiedAt) != expected)
      return platform::SwapStatus::Mismatch;
    Entries[key] = {key, value, ++Last};
    return platform::SwapStatus::Swapped;
  }

private:
  std::mutex Guard;
  platform::Revision Last = 0;
  std::map<std::string, platform::StoreEntry> Entries;
};

} // namespace cowslipridge::ledger
