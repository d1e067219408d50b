#pragma once

#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/http1/LoopTimer.hpp"
#include "cowslipridge/platform/MonitoredStoreClient.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cowslipridge::platform {

/// All items of the store.
struct StoreListing {
  std::vector<StoreItem> Items;
  StorePosition Position; ///< the items are as of this position or later
  /// The store was restored from an older copy since the listing before: the
  /// items may lack recent changes or be older than items received before.
  bool AfterRestore = false;
};

/// Mirrors all items of the store: one paginated listing, then one watch that
/// is repeated as long-polling calls. It lists again when the history that the
/// watch needs is compacted, and once in each new era of the store.
///
/// A failed page is requested again after a delay that grows exponentially
/// while the store limits the rate. Pages already received are kept: gateways
/// that start at the same time would otherwise restart their listings for ever.
class StoreWatcher {
public:
  struct Listeners {
    std::function<void(const StoreListing &)> OnListed;
    /// Receives each item that changed after that listing.
    std::function<void(const StoreItem &)> OnChanged;
  };

  /// `seed` must differ between gateways, so that they don't retry at the same
  /// time.
  StoreWatcher(boost::asio::io_context &loop, MonitoredStoreClient &store,
               std::uint64_t seed);

  void start(Listeners listeners);
  /// Returns all items as currently known; nothing before the first listing.
  [[nodiscard]] std::optional<StoreBatch> snapshot() const;
  /// Uses the snapshot of another gateway's watcher in place of the first
  /// listing; the watch then delivers later changes. Returns false if a listing
  /// has already completed.
  bool applySnapshot(StoreBatch batch);
  /// Lists again, unless a listing of the store's present era has begun.
  void onRestored();
  /// Returns whether the items are of the store's present era, as far as its
  /// responses to this gateway show.
  [[nodiscard]] bool isCurrent() const;
  /// Cancels the pending call and sends it again if it was started at or before
  /// this time: its connection may have become unresponsive.
  void reissueCalls(core::Millis startedBefore);
  /// Sets the number of gateways that watch the store. Each gateway's delay
  /// between two watches grows with it, so that a change costs the store fewer
  /// calls.
  void setWatcherCount(std::size_t count) { WatcherCount = count; }
  /// Sets the time within which a change must be in force at every gateway.
  void setChangeDeadline(core::Millis deadline) { ChangeDeadline = deadline; }

private:
  enum class Step { Listing, Watching };

  void list();
  void onPage(const StoreReply &reply);
  void finishListing(std::vector<StoreItem> items, StorePosition position);
  void watch();
  void onChanges(const StoreReply &reply);
  void applyChange(const StoreItem &item);
  void restartListing();
  void listNewEra();
  [[nodiscard]] core::Millis watchDelay() const;
  void scheduleRetry(const StoreReply &reply);
  void scheduleResume(core::Millis delay);

  boost::asio::io_context &Loop;
  MonitoredStoreClient &Store;
  http1::LoopTimer Timer;
  Listeners Callbacks;
  core::Random JitterRandom;
  Step CurrentStep = Step::Listing;
  StorePosition Position;
  std::vector<StoreItem> PartialListing;
  /// Position of the first page of the listing in progress.
  std::optional<StorePosition> FirstPageAt;
  StoreEra ListedEra = 0; ///< latest era that a listing was begun in
  std::shared_ptr<http1::Call> WatchCall;
  std::shared_ptr<http1::Call> ListCall;
  core::Millis CallStartedAt; ///< the pending list or watch call
  std::map<std::string, StoreItem> Items;
  bool HasListed = false;
  unsigned ConsecutiveRateLimits = 0;
  std::size_t WatcherCount = 1;
  core::Millis ChangeDeadline{2'000};
};

} // namespace cowslipridge::platform
