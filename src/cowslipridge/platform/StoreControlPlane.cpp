#include "cowslipridge/platform/StoreControlPlane.hpp"

#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/platform/Documents.hpp"
#include "cowslipridge/platform/internal/JsonReader.hpp"

#include <chrono>
#include <optional>
#include <utility>

namespace cowslipridge::platform {

namespace {

constexpr std::string_view ConfigurationKey = "op/config";
constexpr std::string_view OrderPrefix = "op/rollout/";
constexpr std::string_view ServerPrefix = "servers/";
constexpr std::string_view StatusPrefix = "status/rollout/";
// Our own.
constexpr std::string_view ProgressPrefix = "cowslipridge/progress/";
constexpr std::string_view PeerPrefix = "cowslipridge/peers/";
/// One watch serves all of the above.
constexpr std::string_view WatchedPrefix;

constexpr core::Millis CallTimeout{800};
constexpr core::Millis ListTimeout{2'000};
constexpr core::Millis WatchWait{15'000};
/// Beyond the wait, for the answer to come.
constexpr core::Millis WatchSlack{2'000};
constexpr core::Millis RetryPause{250};
constexpr core::Millis LeaseLifetime{4'000};
/// Also how soon an outage of the store is noticed.
constexpr core::Millis RenewInterval{1'000};

constexpr std::string_view WatchCall = "watch";

constexpr int Ok = 200;
constexpr int NotFound = 404;
constexpr int HistoryGone = 410;
constexpr int ConditionFailed = 412;

std::string keyOf(std::string_view prefix, const std::string &name) {
  return std::string(prefix) + name;
}

/// What stands behind `prefix` in `key`; nothing when it begins otherwise.
std::optional<std::string> nameBehind(std::string_view prefix,
                                      const std::string &key) {
  if (!key.starts_with(prefix))
    return std::nullopt;
  return key.substr(prefix.size());
}

std::chrono::milliseconds toChrono(core::Millis length) {
  return std::chrono::milliseconds(length.count());
}

std::string writeProgress(const rollout::RolloutProgress &progress) {
  return internal::Json{{"target", progress.Target.str()},
                        {"step", progress.Step},
                        {"elapsed_ms", progress.Elapsed.count()}}
      .dump();
}

core::Result<rollout::RolloutProgress> parseProgress(const std::string &service,
                                                     const std::string &text) {
  const internal::Json json = internal::parseJson(text);
  const auto target = internal::textAt(json, "target");
  const auto step = internal::wholeAt(json, "step");
  const auto elapsed = internal::wholeAt(json, "elapsed_ms");
  if (!target || !step || !elapsed)
    return core::Errc::Malformed;
  return rollout::RolloutProgress{
      core::ServiceId(service), core::VersionId(*target),
      static_cast<unsigned>(*step), core::Millis(*elapsed)};
}

std::string writePeer(const gateway::Peer &peer) {
  return internal::Json{{"host", peer.Host}, {"port", peer.Port}}.dump();
}

core::Result<gateway::Peer> parsePeer(const std::string &name,
                                      const std::string &text) {
  const internal::Json json = internal::parseJson(text);
  const auto host = internal::textAt(json, "host");
  const auto port = internal::wholeAt(json, "port");
  if (!host || !port || *port <= 0 || *port > 65'535)
    return core::Errc::Malformed;
  return gateway::Peer{core::InstanceId(name), *host,
                       static_cast<std::uint16_t>(*port)};
}

} // namespace

StoreControlPlane::StoreControlPlane(boost::asio::io_context &loop,
                                     const core::Clock &clock,
                                     const config::SocketAddress &store,
                                     observe::Metrics &counts)
    : Store(loop, clock, store), Counts(counts), WatchTimer(loop),
      LeaseTimer(loop) {}

void StoreControlPlane::start(gateway::Peer self, Listener listener,
                              std::function<void()> onSynced) {
  Self = std::move(self);
  Listen = std::move(listener);
  Synced = std::move(onSynced);
  list({});
  grant();
}

void StoreControlPlane::list(const std::string &after) {
  if (after.empty()) {
    Listing.clear();
    At = 0;
  }
  Store.send(listCall(std::string(WatchedPrefix), after), {}, ListTimeout,
             [this](const StoreReply &reply) { onPage(reply); });
}

void StoreControlPlane::onPage(const StoreReply &reply) {
  const auto page = parseListing(reply.Body);
  if (!noteReply(reply, "list") || reply.Status != Ok || !page) {
    At = 0;
    retryLater();
    return;
  }
  // Pages are no snapshot: what changed since the first one is seen again.
  if (At == 0)
    At = page->At;
  Listing.insert(Listing.end(), page->Items.begin(), page->Items.end());
  if (page->HasMore && !page->Items.empty()) {
    list(page->Items.back().Key);
    return;
  }
  applyListing();
  if (const auto synced = std::exchange(Synced, nullptr))
    synced();
  watch();
}

void StoreControlPlane::applyListing() {
  reportRemoved();
  Revisions.clear();
  gateway::ServersListed servers;
  for (const StoreItem &it : Listing) {
    const auto server = nameBehind(ServerPrefix, it.Key);
    if (!server) {
      apply(it);
      continue;
    }
    if (const auto parsed = parseBackendServer(*server, it.Value))
      servers.Servers.push_back(*parsed);
    else
      report(gateway::EntryRefused{it.Key});
  }
  report(servers);
  Listing.clear();
}

// Orders and peers that were removed while changes were missed.
void StoreControlPlane::reportRemoved() {
  std::set<std::string> gone = KnownKeys;
  for (const StoreItem &it : Listing)
    gone.erase(it.Key);
  for (const std::string &it : gone)
    apply({it, {}, At, true});
}

void StoreControlPlane::watch() {
  Watching = Store.send(watchCall(std::string(WatchedPrefix), At, WatchWait),
                        {}, WatchWait + WatchSlack,
                        [this](const StoreReply &reply) { onChanges(reply); });
}

void StoreControlPlane::onChanges(const StoreReply &reply) {
  Watching = nullptr;
  if (reply.Status == HistoryGone) {
    noteReply(reply, WatchCall);
    list({});
    return;
  }
  const auto changes = parseChanges(reply.Body);
  if (!noteReply(reply, WatchCall) || reply.Status != Ok || !changes) {
    retryLater();
    return;
  }
  for (const StoreItem &it : changes->Items)
    apply(it);
  At = std::max(At, changes->At);
  watch();
}

void StoreControlPlane::apply(const StoreItem &item) {
  if (item.Key == ConfigurationKey)
    applyConfiguration(item);
  else if (const auto server = nameBehind(ServerPrefix, item.Key))
    applyServer(*server, item);
  else if (const auto ordered = nameBehind(OrderPrefix, item.Key))
    applyOrder(*ordered, item);
  else if (const auto told = nameBehind(StatusPrefix, item.Key))
    applyStatus(*told, item);
  else if (const auto advanced = nameBehind(ProgressPrefix, item.Key))
    applyProgress(*advanced, item);
  else if (const auto peer = nameBehind(PeerPrefix, item.Key))
    applyPeer(*peer, item);
}

void StoreControlPlane::applyConfiguration(const StoreItem &item) {
  // The last one stays in force when the item vanishes or can't be read.
  if (item.Deleted)
    return;
  std::string problems;
  auto parsed = parseCatalogue(item.Value, problems);
  if (!parsed) {
    report(gateway::CatalogueRefused{"not a configuration"});
    return;
  }
  if (!problems.empty())
    report(gateway::CatalogueRefused{problems});
  report(gateway::CatalogueChanged{
      std::make_shared<const catalogue::CatalogueIndex>(
          std::move(parsed).value())});
}

void StoreControlPlane::applyServer(const std::string &id,
                                    const StoreItem &item) {
  const auto server = parseBackendServer(id, item.Value);
  if (!item.Deleted && server) {
    report(gateway::ServerChanged{*server});
    return;
  }
  // An entry that can't be read names no runner to use.
  if (!item.Deleted)
    report(gateway::EntryRefused{item.Key});
  report(gateway::ServerRemoved{core::RunnerId(id)});
}

void StoreControlPlane::applyOrder(const std::string &service,
                                   const StoreItem &item) {
  const auto order = parseRolloutOrder(item.Value);
  if (!item.Deleted && !order)
    report(gateway::EntryRefused{item.Key});
  if (item.Deleted || !order) {
    KnownKeys.erase(item.Key);
    report(gateway::RolloutWithdrawn{core::ServiceId(service)});
    return;
  }
  KnownKeys.insert(item.Key);
  report(gateway::RolloutOrdered{*order});
}

void StoreControlPlane::applyStatus(const std::string &service,
                                    const StoreItem &item) {
  if (item.Deleted) {
    Revisions.erase(item.Key);
    return;
  }
  Revisions[item.Key] = item.Revision;
  if (const auto status = parseRolloutStatus(service, item.Value))
    report(gateway::RolloutStatusChanged{*status});
  else
    report(gateway::EntryRefused{item.Key});
}

void StoreControlPlane::applyProgress(const std::string &service,
                                      const StoreItem &item) {
  if (item.Deleted) {
    Revisions.erase(item.Key);
    return;
  }
  Revisions[item.Key] = item.Revision;
  if (const auto progress = parseProgress(service, item.Value))
    report(gateway::RolloutProgressChanged{*progress});
  else
    report(gateway::EntryRefused{item.Key});
}

void StoreControlPlane::applyPeer(const std::string &name,
                                  const StoreItem &item) {
  const auto peer = parsePeer(name, item.Value);
  if (!item.Deleted && !peer)
    report(gateway::EntryRefused{item.Key});
  if (item.Deleted || !peer) {
    KnownKeys.erase(item.Key);
    report(gateway::PeerRemoved{core::InstanceId(name)});
    return;
  }
  KnownKeys.insert(item.Key);
  if (peer->Name != Self.Name)
    report(gateway::PeerChanged{*peer});
}

void StoreControlPlane::advance(const rollout::RolloutStatus &status,
                                const rollout::RolloutProgress &progress) {
  const std::string statusKey = keyOf(StatusPrefix, status.Service.str());
  const std::string progressKey = keyOf(ProgressPrefix, progress.Service.str());
  const auto revisionOf = [this](const std::string &key) {
    const auto it = Revisions.find(key);
    return it == Revisions.end() ? 0 : it->second;
  };
  Store.send(writeCall({{statusKey, writeRolloutStatus(status), 0, true,
                         revisionOf(statusKey)},
                        {progressKey, writeProgress(progress), 0, true,
                         revisionOf(progressKey)}}),
             CallTimeout,
             [this](const StoreReply &reply) { noteReply(reply, "advance"); });
}

void StoreControlPlane::leave() {
  Leaving = true;
  LeaseTimer.cancel();
  if (Lease != 0)
    Store.send(endLeaseCall(Lease), CallTimeout, [](const StoreReply &) {
      // The lease ends by itself if this call was lost.
    });
}

void StoreControlPlane::renewLater() {
  if (Leaving)
    return;
  LeaseTimer.expires_after(toChrono(RenewInterval));
  LeaseTimer.async_wait([this](const auto &ec) {
    if (!ec && !Leaving)
      renew();
  });
}

void StoreControlPlane::renew() {
  if (Lease == 0) {
    grant();
    return;
  }
  Store.send(renewLeaseCall(Lease), CallTimeout,
             [this](const StoreReply &reply) { onLeaseReply(reply); });
}

void StoreControlPlane::onLeaseReply(const StoreReply &reply) {
  noteReply(reply, "renew");
  if (reply.Status == NotFound) {
    Lease = 0;
    grant();
    return;
  }
  renewLater();
}

void StoreControlPlane::grant() {
  Store.send(grantLeaseCall(LeaseLifetime), CallTimeout,
             [this](const StoreReply &reply) {
               const auto lease = parseLease(reply.Body);
               if (noteReply(reply, "grant") && reply.Status == Ok && lease) {
                 Lease = *lease;
                 registerSelf();
               }
               renewLater();
             });
}

void StoreControlPlane::registerSelf() {
  Store.send(writeCall({{keyOf(PeerPrefix, Self.Name.str()), writePeer(Self),
                         Lease, false, 0}}),
             CallTimeout, [this](const StoreReply &reply) {
               if (noteReply(reply, "register") && reply.Status == Ok)
                 return;
               // Begins anew with the next renewal.
               Lease = 0;
             });
}

bool StoreControlPlane::noteReply(const StoreReply &reply,
                                  std::string_view call) {
  const bool answered = reply.Status == Ok || reply.Status == NotFound ||
                        reply.Status == HistoryGone ||
                        reply.Status == ConditionFailed;
  const observe::MetricLabels labels{.Service = {},
                                     .Version = {},
                                     .Outcome =
                                         answered ? "answered" : "failed"};
  Counts.add(observe::CounterName::StoreCalls, labels);
  // A watch waits on purpose.
  if (call != WatchCall)
    Counts.observe(observe::HistogramName::StoreCallSeconds, labels,
                   reply.Took);
  if (!answered && !Away) {
    Away = true;
    const std::string reason = reply.Status != 0
                                   ? "status " + std::to_string(reply.Status)
                                   : std::string(toString(reply.Failure));
    report(gateway::ControlPlaneLost{std::string(call) + ": " + reason});
  }
  if (answered && Away) {
    Away = false;
    report(gateway::ControlPlaneReturned{});
    // The connection of a watch that waits may have fallen silent.
    if (Watching) {
      std::exchange(Watching, nullptr)->cancel();
      watch();
    }
  }
  return answered;
}

void StoreControlPlane::retryLater() {
  WatchTimer.expires_after(toChrono(RetryPause));
  WatchTimer.async_wait([this](const auto &ec) {
    if (ec)
      return;
    if (At == 0)
      list({});
    else
      watch();
  });
}

} // namespace cowslipridge::platform
