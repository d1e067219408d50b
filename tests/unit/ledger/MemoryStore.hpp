#pragma once

#include "cowslipridge/backing/Store.hpp"
#include "cowslipridge/core/Error.hpp"

#include <atomic>
#include <map>
#include <mutex>

namespace cowslipridge::ledger {

/// An in-memory store that replies at once and can be made unavailable.
class MemoryStore final : public backing::Store {
public:
  std::atomic<bool> Down = false;

  void get(const std::string &key,
           std::function<void(core::Result<std::optional<backing::StoreEntry>>)>
               done) override {
    if (Down)
      done(core::Errc::StoreUnavailable);
    else
      done(find(key));
  }
  void list(const std::string &prefix,
            std::function<void(core::Result<std::vector<backing::StoreEntry>>)>
                done) override {
    std::vector<backing::StoreEntry> found;
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
                      backing::Revision expected,
                      std::function<void(backing::SwapResult)> done) override {
    done(
        {Down ? backing::SwapStatus::Unavailable : swap(key, value, expected)});
  }
  void
  compareAndDelete(const std::string &, backing::Revision,
                   std::function<void(backing::SwapResult)> done) override {
    done({backing::SwapStatus::Unavailable});
  }
  void
  watch(const std::string &, std::uint64_t, core::Millis,
        std::function<void(core::Result<backing::WatchResult>)> done) override {
    done(core::Errc::StoreUnavailable);
  }
  std::optional<backing::StoreEntry> find(const std::string &key) {
    const std::lock_guard lock(Guard);
    const auto it = Entries.find(key);
    return it == Entries.end() ? std::nullopt : std::optional(it->second);
  }
  backing::SwapStatus swap(const std::string &key, const std::string &value,
                           backing::Revision expected) {
    const std::lock_guard lock(Guard);
    const auto it = Entries.find(key);
    if ((it == Entries.end() ? 0 : it->second.ModifiedAt) != expected)
      return backing::SwapStatus::Mismatch;
    Entries[key] = {key, value, ++Last};
    return backing::SwapStatus::Swapped;
  }

private:
  std::mutex Guard;
  backing::Revision Last = 0;
  std::map<std::string, backing::StoreEntry> Entries;
};

} // namespace cowslipridge::ledger
