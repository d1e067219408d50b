#include "cowslipridge/platform/StoreWatcher.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace cowslipridge::platform {

namespace {

/// The empty prefix matches all keys. One watch costs the store less than
/// several.
const std::string WatchedPrefix;

constexpr core::Millis ListTimeout{2'000};
constexpr core::Millis WatchWait{15'000};
/// Added to WatchWait, so that the response of an expired watch can arrive.
constexpr core::Millis WatchTimeoutMargin{2'000};
constexpr core::Millis RetryDelay{250};
constexpr unsigned MaxRetryDelayDoublings = 3;
/// Delay between two watches for each gateway that watches the store. Changes
/// made during the delay arrive in one response.
constexpr core::Millis WatchDelayPerWatcher{16};
/// Bounds the delay between two watches to one part in this of the deadline for
/// a change. The rest is left for slow calls and retries.
constexpr std::int64_t WatchDelayDivisor = 5;

} // namespace

StoreWatcher::StoreWatcher(boost::asio::io_context &loop,
                           MonitoredStoreClient &store, std::uint64_t seed)
    : Loop(loop), Store(store), Timer(loop), JitterRandom(seed) {}

void StoreWatcher::start(Listeners listeners) {
  Callbacks = std::move(listeners);
  restartListing();
}

void StoreWatcher::restartListing() {
  CurrentStep = Step::Listing;
  PartialListing.clear();
  FirstPageAt.reset();
  ListedEra = Store.era();
  list();
}

// Deferred, because the caller may be handling the response of the pending
// call.
void StoreWatcher::onRestored() {
  boost::asio::post(Loop, [this] { listNewEra(); });
}

void StoreWatcher::listNewEra() {
  if (ListedEra == Store.era())
    return;
  if (const auto call = std::exchange(WatchCall, nullptr))
    call->cancel();
  if (const auto call = std::exchange(ListCall, nullptr))
    call->cancel();
  Timer.cancel();
  restartListing();
}

bool StoreWatcher::isCurrent() const {
  return HasListed && (Store.era() == 0 || Position.Era == Store.era());
}

void StoreWatcher::list() {
  CallStartedAt = Store.now();
  const std::string after =
      PartialListing.empty() ? "" : PartialListing.back().Key;
  ListCall = Store.send(StoreCallKind::List,
                        {listCall(WatchedPrefix, after), {}}, ListTimeout,
                        [this](const StoreReply &reply) { onPage(reply); });
}

void StoreWatcher::onPage(const StoreReply &reply) {
  ListCall = nullptr;
  auto page = parseListing(reply.Body);
  if (reply.Status != status::Ok || !page) {
    scheduleRetry(reply);
    return;
  }
  ConsecutiveRateLimits = 0;
  if (FirstPageAt && FirstPageAt->Era != reply.Era) {
    restartListing();
    return;
  }
  // The pages are not a consistent snapshot. Watching from the revision of the
  // first page delivers everything that changed while the others were read.
  if (!FirstPageAt)
    FirstPageAt = StorePosition{reply.Era, page->Position.Revision};
  const bool hasMore = page->HasMore && !page->Items.empty();
  std::move(page->Items.begin(), page->Items.end(),
            std::back_inserter(PartialListing));
  if (hasMore) {
    list();
    return;
  }
  finishListing(std::exchange(PartialListing, {}), *FirstPageAt);
}

void StoreWatcher::finishListing(std::vector<StoreItem> items,
                                 StorePosition position) {
  StoreListing listing{std::move(items), position, false};
  listing.AfterRestore = HasListed && Position.Era != position.Era;
  HasListed = true;
  Position = position;
  Items.clear();
  for (const StoreItem &it : listing.Items)
    Items.emplace(it.Key, it);
  Callbacks.OnListed(listing);
  watch();
}

std::optional<StoreBatch> StoreWatcher::snapshot() const {
  if (!HasListed)
    return std::nullopt;
  StoreBatch batch;
  batch.Position = Position;
  for (const auto &[key, item] : Items)
    batch.Items.push_back(item);
  return batch;
}

bool StoreWatcher::applySnapshot(StoreBatch batch) {
  if (HasListed)
    return false;
  if (const auto call = std::exchange(ListCall, nullptr))
    call->cancel();
  Timer.cancel();
  PartialListing.clear();
  finishListing(std::move(batch.Items), batch.Position);
  return true;
}

void StoreWatcher::applyChange(const StoreItem &item) {
  if (item.Deleted)
    Items.erase(item.Key);
  else
    Items.insert_or_assign(item.Key, item);
  Callbacks.OnChanged(item);
}

void StoreWatcher::watch() {
  if (!isCurrent()) {
    restartListing();
    return;
  }
  CurrentStep = Step::Watching;
  CallStartedAt = Store.now();
  WatchCall =
      Store.send(StoreCallKind::Watch,
                 {watchCall(WatchedPrefix, Position.Revision, WatchWait), {}},
                 WatchWait + WatchTimeoutMargin,
                 [this](const StoreReply &reply) { onChanges(reply); });
}

void StoreWatcher::onChanges(const StoreReply &reply) {
  WatchCall = nullptr;
  // A restored store may have reached the watched revision again by other
  // changes.
  if (isProcessed(reply) && reply.Era != Position.Era) {
    restartListing();
    return;
  }
  if (reply.Status == status::HistoryCompacted) {
    restartListing();
    return;
  }
  const auto changes = parseChanges(reply.Body);
  if (reply.Status != status::Ok || !changes) {
    scheduleRetry(reply);
    return;
  }
  ConsecutiveRateLimits = 0;
  for (const StoreItem &it : changes->Items)
    applyChange(it);
  Position =
      std::max(Position, StorePosition{reply.Era, changes->Position.Revision});
  scheduleResume(watchDelay());
}

core::Millis StoreWatcher::watchDelay() const {
  return std::min(ChangeDeadline / WatchDelayDivisor,
                  WatchDelayPerWatcher *
                      static_cast<std::int64_t>(WatcherCount));
}

// Deferred, because the caller may be handling the response of this very call.
void StoreWatcher::reissueCalls(core::Millis startedBefore) {
  boost::asio::post(Loop, [this, startedBefore] {
    if (CallStartedAt > startedBefore)
      return;
    if (const auto call = std::exchange(WatchCall, nullptr)) {
      call->cancel();
      watch();
    }
    if (const auto call = std::exchange(ListCall, nullptr)) {
      call->cancel();
      list();
    }
  });
}

// The random part of the delay spreads the retries of gateways that were
// rate-limited at the same time.
void StoreWatcher::scheduleRetry(const StoreReply &reply) {
  if (!isRateLimited(reply)) {
    ConsecutiveRateLimits = 0;
    scheduleResume(RetryDelay);
    return;
  }
  const auto doublings =
      std::min(ConsecutiveRateLimits++, MaxRetryDelayDoublings);
  const auto meanDelay =
      static_cast<double>((RetryDelay * (1 << doublings)).count());
  scheduleResume(core::Millis(static_cast<std::int64_t>(
      meanDelay * (0.5 + core::uniform(JitterRandom)))));
}

void StoreWatcher::scheduleResume(core::Millis delay) {
  Timer.start(delay, [this] {
    if (CurrentStep == Step::Listing)
      list();
    else
      watch();
  });
}

} // namespace cowslipridge::platform
