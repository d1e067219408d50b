#include "cowslipridge/platform/StoreControlPlane.hpp"

#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/platform/Documents.hpp"
#include "cowslipridge/platform/internal/JsonReader.hpp"

#include <optional>
#include <utility>

namespace cowslipridge::platform {

namespace {

constexpr std::string_view ConfigurationKey = "op/config";
constexpr std::string_view RolloutPrefix = "op/rollout/";
constexpr std::string_view ServerPrefix = "servers/";
constexpr std::string_view StatusPrefix = "status/rollout/";
// Keys that only gateways write.
constexpr std::string_view ProgressPrefix = "cowslipridge/progress/";
constexpr std::string_view PeerPrefix = "cowslipridge/peers/";

constexpr core::Millis AdvanceTimeout{800};

std::string makeKey(std::string_view prefix, const std::string &name) {
  return std::string(prefix) + name;
}

/// Returns the part of `key` after `prefix`; nothing if `key` does not start
/// with it.
std::optional<std::string> stripPrefix(std::string_view prefix,
                                       const std::string &key) {
  if (!key.starts_with(prefix))
    return std::nullopt;
  return key.substr(prefix.size());
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
  const auto target = internal::stringAt(json, "target");
  const auto step = internal::integerAt(json, "step");
  const auto elapsed = internal::integerAt(json, "elapsed_ms");
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
  const auto host = internal::stringAt(json, "host");
  const auto port = internal::integerAt(json, "port");
  if (!host || !port || *port <= 0 || *port > 65'535)
    return core::Errc::Malformed;
  return gateway::Peer{core::InstanceId(name), *host,
                       static_cast<std::uint16_t>(*port)};
}

} // namespace

StoreControlPlane::StoreControlPlane(boost::asio::io_context &loop,
                                     const core::Clock &clock,
                                     const config::SocketAddress &address,
                                     std::uint64_t seed,
                                     observe::Metrics &metrics)
    : Store(loop, clock, address, metrics), Watcher(loop, Store, seed),
      Registration(loop, Store) {}

void StoreControlPlane::start(gateway::Peer self, Listener listener,
                              std::function<void()> onSynced) {
  Self = std::move(self);
  OnEvent = std::move(listener);
  OnSynced = std::move(onSynced);
  Store.setListeners({[this](const std::string &reason) {
                        report(gateway::ControlPlaneUnavailable{reason});
                      },
                      [this] { report(gateway::ControlPlaneAvailable{}); },
                      [this](core::Millis it) { Watcher.reissueCalls(it); }});
  Watcher.start({[this](const auto &items, StoreRevision revision) {
                   applyListing(items, revision);
                 },
                 [this](const StoreItem &it) { apply(it); }});
  Registration.start(makeKey(PeerPrefix, Self.Name.str()), writePeer(Self));
}

void StoreControlPlane::applyListing(const std::vector<StoreItem> &items,
                                     StoreRevision revision) {
  reportRemoved(items, revision);
  Revisions.clear();
  gateway::ServersListed servers;
  for (const StoreItem &it : items) {
    const auto server = stripPrefix(ServerPrefix, it.Key);
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
  if (const auto synced = std::exchange(OnSynced, nullptr))
    synced();
}

// Reports the roll-out orders and peers that were removed while changes were
// missed.
void StoreControlPlane::reportRemoved(const std::vector<StoreItem> &items,
                                      StoreRevision revision) {
  std::set<std::string> removed = RolloutAndPeerKeys;
  for (const StoreItem &it : items)
    removed.erase(it.Key);
  for (const std::string &it : removed)
    apply({it, {}, revision, true});
}

void StoreControlPlane::apply(const StoreItem &item) {
  if (item.Key == ConfigurationKey)
    applyConfiguration(item);
  else if (const auto server = stripPrefix(ServerPrefix, item.Key))
    applyServer(*server, item);
  else if (const auto rolloutService = stripPrefix(RolloutPrefix, item.Key))
    applyOrder(*rolloutService, item);
  else if (const auto statusService = stripPrefix(StatusPrefix, item.Key))
    applyStatus(*statusService, item);
  else if (const auto progressService = stripPrefix(ProgressPrefix, item.Key))
    applyProgress(*progressService, item);
  else if (const auto peer = stripPrefix(PeerPrefix, item.Key))
    applyPeer(*peer, item);
}

void StoreControlPlane::applyConfiguration(const StoreItem &item) {
  // The last valid configuration stays in force if the item is deleted or
  // malformed.
  if (item.Deleted)
    return;
  std::string problems;
  auto parsed = parseCatalogue(item.Value, problems);
  if (!parsed) {
    report(gateway::CatalogueRefused{
        "the value is no JSON object with a version"});
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
  // A malformed entry counts as a removed runner: it has no usable address.
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
    RolloutAndPeerKeys.erase(item.Key);
    report(gateway::RolloutWithdrawn{core::ServiceId(service)});
    return;
  }
  RolloutAndPeerKeys.insert(item.Key);
  report(gateway::RolloutCommandChanged{*order});
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
    RolloutAndPeerKeys.erase(item.Key);
    PeerKeys.erase(item.Key);
    Watcher.setWatcherCount(PeerKeys.size());
    report(gateway::PeerRemoved{core::InstanceId(name)});
    return;
  }
  RolloutAndPeerKeys.insert(item.Key);
  PeerKeys.insert(item.Key);
  Watcher.setWatcherCount(PeerKeys.size());
  if (peer->Name != Self.Name)
    report(gateway::PeerChanged{*peer});
}

void StoreControlPlane::advance(const rollout::RolloutStatus &status,
                                const rollout::RolloutProgress &progress) {
  const std::string statusKey = makeKey(StatusPrefix, status.Service.str());
  const std::string progressKey =
      makeKey(ProgressPrefix, progress.Service.str());
  const auto revisionOf = [this](const std::string &key) {
    const auto it = Revisions.find(key);
    return it == Revisions.end() ? 0 : it->second;
  };
  Store.send(StoreCallKind::Advance,
             transactionCall({{statusKey, writeRolloutStatus(status), 0, true,
                               revisionOf(statusKey)},
                              {progressKey, writeProgress(progress), 0, true,
                               revisionOf(progressKey)}}),
             AdvanceTimeout, [](const StoreReply &) {
               // The watch delivers the records that are in force.
             });
}

void StoreControlPlane::deregister() { Registration.deregister(); }

std::optional<std::string> StoreControlPlane::snapshot() const {
  const auto batch = Watcher.snapshot();
  return batch ? std::optional(writeListing(*batch)) : std::nullopt;
}

bool StoreControlPlane::adopt(const std::string &snapshot) {
  auto batch = parseListing(snapshot);
  return batch.ok() && Watcher.applySnapshot(std::move(batch).value());
}

} // namespace cowslipridge::platform
