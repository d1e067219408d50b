#pragma once

#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/platform/MonitoredStoreClient.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cowslipridge::platform {

/// Follows all items of the store: one listing in pages, then one watch.
///
/// A page that was refused is asked for again, after a pause that grows while
/// the store is busy, and the pages before it are kept: gateways that start
/// together take turns rather than begin anew for ever.
class StoreWatcher {
public:
  struct Listeners {
    /// All items there are, as of `at` or later.
    std::function<void(std::vector<StoreItem> items, StoreRevision at)> Listed;
    /// One that changed since.
    std::function<void(const StoreItem &)> Changed;
  };

  /// `seed` differs between gateways, so that they don't retry together.
  StoreWatcher(boost::asio::io_context &loop, MonitoredStoreClient &store,
               std::uint64_t seed);

  void start(Listeners listeners);
  /// All items as known now; nothing before the first listing.
  [[nodiscard]] std::optional<StoreBatch> known() const;
  /// Takes what another follower knows in place of the first listing; changes
  /// since then come by the watch. False when the store has listed already.
  bool adopt(StoreBatch batch);
  /// Makes the call that waits anew if it was made before this time: its
  /// connection may have fallen silent.
  void reissueCalls(core::Millis madeBefore);
  /// How many gateways follow the store. With more of them each leaves a longer
  /// pause between two watches, so that a change costs the store less.
  void setWatcherCount(std::size_t count) { Followers = count; }

private:
  enum class Step { Listing, Watching };

  void list();
  void onPage(const StoreReply &reply);
  void finishListing(std::vector<StoreItem> items);
  void watch();
  void onChanges(const StoreReply &reply);
  void note(const StoreItem &item);
  void beginAnew();
  void retryAfter(const StoreReply &reply);
  void resumeAfter(core::Millis pause);

  MonitoredStoreClient &Store;
  boost::asio::steady_timer Timer;
  Listeners Hears;
  core::Random Draw;
  Step Doing = Step::Listing;
  StoreRevision At = 0;
  std::vector<StoreItem> Listing;
  bool HasPage = false; ///< of this listing
  std::shared_ptr<http1::Call> Watch;
  std::shared_ptr<http1::Call> Page; ///< that is being asked for
  core::Millis CalledAt;             ///< the watch or the page
  std::map<std::string, StoreItem> Items;
  bool Listed = false;
  unsigned BusyInRow = 0;
  std::size_t Followers = 1;
};

} // namespace cowslipridge::platform
