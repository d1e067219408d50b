#include "cowslipridge/platform/StoreWatcher.hpp"

#include "cowslipridge/core/Chrono.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace cowslipridge::platform {

namespace {

/// Of the keys that are followed: all. One watch is cheaper than several.
const std::string Prefix;

constexpr core::Millis ListTimeout{2'000};
constexpr core::Millis WatchWait{15'000};
/// Beyond the wait, for the answer to come.
constexpr core::Millis WatchSlack{2'000};
constexpr core::Millis RetryPause{250};
constexpr unsigned MaxPauseDoublings = 3;
/// Between two watches, for each gateway that follows the store: what changes
/// meanwhile comes in one answer.
constexpr core::Millis PausePerFollower{16};
/// A change must be in force everywhere well within two seconds.
constexpr core::Millis MaxWatchPause{400};

} // namespace

StoreWatcher::StoreWatcher(boost::asio::io_context &loop,
                           MonitoredStoreClient &store, std::uint64_t seed)
    : Store(store), Timer(loop), Draw(seed) {}

void StoreWatcher::start(Listeners listeners) {
  Hears = std::move(listeners);
  beginAnew();
}

void StoreWatcher::beginAnew() {
  Doing = Step::Listing;
  Listing.clear();
  HasPage = false;
  list();
}

void StoreWatcher::list() {
  CalledAt = Store.now();
  const std::string after = Listing.empty() ? "" : Listing.back().Key;
  Page = Store.send(StoreCallKind::List, {listCall(Prefix, after), {}},
                    ListTimeout,
                    [this](const StoreReply &reply) { onPage(reply); });
}

void StoreWatcher::onPage(const StoreReply &reply) {
  Page = nullptr;
  auto page = parseListing(reply.Body);
  if (reply.Status != status::Ok || !page) {
    retryAfter(reply);
    return;
  }
  BusyInRow = 0;
  // Pages are no snapshot: what changed since the first one is seen again.
  if (!std::exchange(HasPage, true))
    At = page->At;
  const bool goesOn = page->HasMore && !page->Items.empty();
  std::move(page->Items.begin(), page->Items.end(),
            std::back_inserter(Listing));
  if (goesOn) {
    list();
    return;
  }
  finishListing(std::exchange(Listing, {}));
}

void StoreWatcher::finishListing(std::vector<StoreItem> items) {
  Listed = true;
  Items.clear();
  for (const StoreItem &it : items)
    Items.emplace(it.Key, it);
  Hears.Listed(std::move(items), At);
  watch();
}

std::optional<StoreBatch> StoreWatcher::known() const {
  if (!Listed)
    return std::nullopt;
  StoreBatch batch;
  batch.At = At;
  for (const auto &[key, item] : Items)
    batch.Items.push_back(item);
  return batch;
}

bool StoreWatcher::adopt(StoreBatch batch) {
  if (Listed)
    return false;
  if (const auto call = std::exchange(Page, nullptr))
    call->cancel();
  Timer.cancel();
  At = batch.At;
  Listing.clear();
  finishListing(std::move(batch.Items));
  return true;
}

void StoreWatcher::note(const StoreItem &item) {
  if (item.Deleted)
    Items.erase(item.Key);
  else
    Items.insert_or_assign(item.Key, item);
  Hears.Changed(item);
}

void StoreWatcher::watch() {
  Doing = Step::Watching;
  CalledAt = Store.now();
  Watch =
      Store.send(StoreCallKind::Watch, {watchCall(Prefix, At, WatchWait), {}},
                 WatchWait + WatchSlack,
                 [this](const StoreReply &reply) { onChanges(reply); });
}

void StoreWatcher::onChanges(const StoreReply &reply) {
  Watch = nullptr;
  if (reply.Status == status::HistoryGone) {
    beginAnew();
    return;
  }
  const auto changes = parseChanges(reply.Body);
  if (reply.Status != status::Ok || !changes) {
    retryAfter(reply);
    return;
  }
  BusyInRow = 0;
  for (const StoreItem &it : changes->Items)
    note(it);
  At = std::max(At, changes->At);
  resumeAfter(std::min(
      MaxWatchPause, PausePerFollower * static_cast<std::int64_t>(Followers)));
}

// Later, since an answer of this very call may be what is being handled.
void StoreWatcher::reissueCalls(core::Millis madeBefore) {
  boost::asio::post(Timer.get_executor(), [this, madeBefore] {
    if (CalledAt > madeBefore)
      return;
    if (const auto call = std::exchange(Watch, nullptr)) {
      call->cancel();
      watch();
    }
    if (const auto call = std::exchange(Page, nullptr)) {
      call->cancel();
      list();
    }
  });
}

// Gateways that were refused together come back one by one.
void StoreWatcher::retryAfter(const StoreReply &reply) {
  if (!isBusy(reply)) {
    BusyInRow = 0;
    resumeAfter(RetryPause);
    return;
  }
  const auto doublings = std::min(BusyInRow++, MaxPauseDoublings);
  const auto most =
      static_cast<double>((RetryPause * (1 << doublings)).count());
  resumeAfter(core::Millis(
      static_cast<std::int64_t>(most * (0.5 + core::uniform(Draw)))));
}

void StoreWatcher::resumeAfter(core::Millis pause) {
  Timer.expires_after(core::toChrono(pause));
  Timer.async_wait([this](const auto &ec) {
    // A snapshot may have been adopted meanwhile.
    if (ec || Watch || Page)
      return;
    if (Doing == Step::Listing)
      list();
    else
      watch();
  });
}

} // namespace cowslipridge::platform
