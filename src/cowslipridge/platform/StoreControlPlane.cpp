#include "cowslipridge/platform/StoreControlPlane.hpp"

#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/platform/Documents.hpp"
#include "cowslipridge/platform/internal/JsonReader.hpp"
#include "cowslipridge/platform/internal/KeyPrefix.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace cowslipridge::platform {

namespace {

using internal::makeKey;
using internal::stripPrefix;

constexpr std::string_view ConfigurationKey = "op/config";
constexpr std::string_view RolloutPrefix = "op/rollout/";
constexpr std::string_view EvacuationPrefix = "op/evacuate/";
constexpr std::string_view ServerPrefix = "servers/";
/// Written by gateways only.
constexpr std::string_view PeerPrefix = "cowslipridge/peers/";

constexpr core::Millis AdvanceTimeout{800};
/// Larger protocol versions in a gateway's entry are taken for errors.
constexpr std::int64_t MaxProtocol = 1'000;

std::string writePeer(const gateway::Peer &peer) {
  internal::Json json{{"host", peer.Host}, {"port", peer.Port}};
  // Builds that do not know these fields ignore them.
  if (!peer.Domain.empty() && peer.Protocol > 0) {
    json["domain"] = peer.Domain.str();
    json["protocol"] = peer.Protocol;
  }
  return json.dump();
}

core::Result<gateway::Peer> parsePeer(const std::string &name,
                                      const std::string &text) {
  const internal::Json json = internal::parseJson(text);
  const auto host = internal::stringAt(json, "host");
  const auto port = internal::integerAt(json, "port");
  if (!host || !port || *port <= 0 || *port > 65'535)
    return core::Errc::Malformed;
  gateway::Peer peer{core::InstanceId(name), *host,
                     static_cast<std::uint16_t>(*port), core::FailureDomainId(),
                     0};
  const auto protocol = internal::integerAt(json, "protocol").value_or(0);
  if (protocol > 0 && protocol <= MaxProtocol) {
    peer.Protocol = static_cast<unsigned>(protocol);
    peer.Domain =
        core::FailureDomainId(internal::stringAt(json, "domain").value_or(""));
  }
  return peer;
}

} // namespace

StoreControlPlane::StoreControlPlane(boost::asio::io_context &loop,
                                     const core::Clock &clock,
                                     const config::SocketAddress &address,
                                     std::uint64_t seed,
                                     core::Millis changeDeadline,
                                     observe::Metrics &metrics)
    : Store(loop, clock, address, metrics), Watcher(loop, Store, seed),
      Registration(loop, Store), Quarantined(loop, clock, Store, seed),
      RecordIds(seed) {
  Watcher.setChangeDeadline(changeDeadline);
}

void StoreControlPlane::start(gateway::Peer self, Listener listener,
                              std::function<void()> onSynced) {
  Self = std::move(self);
  OnEvent = std::move(listener);
  OnSynced = std::move(onSynced);
  Store.setListeners({[this](const std::string &reason) {
                        report(gateway::ControlPlaneUnavailable{reason});
                      },
                      [this] { report(gateway::ControlPlaneAvailable{}); },
                      [this](core::Millis it) { Watcher.reissueCalls(it); },
                      [this] { onRestored(); }});
  Watcher.start({[this](const StoreListing &it) { applyListing(it); },
                 [this](const StoreItem &it) { applyChange(it); }});
  Registration.setListener([this](const limits::Registration &it) {
    report(gateway::RegistrationChanged{it});
  });
  Registration.start(makeKey(PeerPrefix, Self.Name.str()), writePeer(Self));
}

void StoreControlPlane::onRestored() {
  ReportedEra = Store.era();
  report(gateway::ControlPlaneRestored{});
  Registration.registerAgain();
  Quarantined.onRestored();
  Watcher.onRestored();
}

void StoreControlPlane::applyListing(const StoreListing &listing) {
  // A restore while this gateway had only a snapshot of a peer.
  if (listing.AfterRestore && ReportedEra != listing.Position.Era) {
    ReportedEra = listing.Position.Era;
    report(gateway::ControlPlaneRestored{});
  }
  reportRemovedPeers(listing);
  reportEvacuations(listing);
  reportServers(listing);
  reportRollouts(listing);
  for (const StoreItem &it : listing.Items)
    apply(it);
  if (const auto synced = std::exchange(OnSynced, nullptr))
    synced();
}

// Reports the peers that were removed while changes were missed.
void StoreControlPlane::reportRemovedPeers(const StoreListing &listing) {
  std::set<std::string> removed = PeerKeys;
  for (const StoreItem &it : listing.Items)
    removed.erase(it.Key);
  for (const std::string &it : removed)
    apply({it, {}, listing.Position.Revision, true});
}

void StoreControlPlane::reportServers(const StoreListing &listing) {
  gateway::ServersListed servers;
  servers.AfterRestore = listing.AfterRestore;
  for (const StoreItem &it : listing.Items) {
    const auto server = stripPrefix(ServerPrefix, it.Key);
    if (!server)
      continue;
    if (const auto parsed = parseBackendServer(*server, it.Value))
      servers.Servers.push_back(*parsed);
    else
      report(gateway::EntryRefused{it.Key});
  }
  report(servers);
}

// The key alone is the command, whatever its value.
void StoreControlPlane::reportEvacuations(const StoreListing &listing) {
  gateway::EvacuationsListed list;
  list.AfterRestore = listing.AfterRestore;
  for (const StoreItem &it : listing.Items) {
    if (const auto domain = stripPrefix(EvacuationPrefix, it.Key))
      list.Domains.insert(core::FailureDomainId(*domain));
  }
  report(list);
}

void StoreControlPlane::reportRollouts(const StoreListing &listing) {
  Records.clear();
  for (const StoreItem &it : listing.Items)
    Records.record(it);
  rollout::RolloutList list;
  list.AfterRestore = listing.AfterRestore;
  const auto add = [&](auto &parsed, auto &to, const std::string &key) {
    if (parsed)
      to.push_back(*parsed);
    else
      report(gateway::EntryRefused{key});
  };
  for (const StoreItem &it : listing.Items) {
    if (stripPrefix(RolloutPrefix, it.Key)) {
      const auto order = parseRolloutOrder(it.Value);
      add(order, list.Commands, it.Key);
    } else if (const auto service = RolloutRecords::parseStatusKey(it.Key)) {
      const auto status = parseRolloutStatus(*service, it.Value);
      add(status, list.Statuses, it.Key);
    } else if (const auto name = RolloutRecords::parseProgressKey(it.Key)) {
      const auto progress = parseProgress(*name, it.Value);
      add(progress, list.Progresses, it.Key);
    }
  }
  report(gateway::RolloutsListed{std::move(list)});
}

void StoreControlPlane::applyChange(const StoreItem &item) {
  if (const auto server = stripPrefix(ServerPrefix, item.Key))
    applyServer(*server, item);
  else if (const auto rolloutService = stripPrefix(RolloutPrefix, item.Key))
    applyOrder(*rolloutService, item);
  else if (const auto domain = stripPrefix(EvacuationPrefix, item.Key))
    applyEvacuation(*domain, item);
  else
    applyRecord(item);
  apply(item);
  // The lease of this gateway's entry ended although it was renewed.
  if (item.Deleted && item.Key == makeKey(PeerPrefix, Self.Name.str()))
    Registration.registerAgain();
}

void StoreControlPlane::apply(const StoreItem &item) {
  if (item.Key == ConfigurationKey)
    applyConfiguration(item);
  else if (const auto peer = stripPrefix(PeerPrefix, item.Key))
    applyPeer(*peer, item);
  else if (QuarantineRecords::isRecordKey(item.Key))
    applyQuarantine(item);
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
  const core::Generation version = parsed->Version;
  if (!NewestConfiguration || NewestConfiguration->first <= version)
    NewestConfiguration = {version, item.Value};
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

void StoreControlPlane::applyEvacuation(const std::string &domain,
                                        const StoreItem &item) {
  const core::FailureDomainId name(domain);
  if (item.Deleted)
    report(gateway::EvacuationWithdrawn{name});
  else
    report(gateway::EvacuationChanged{name});
}

void StoreControlPlane::applyOrder(const std::string &service,
                                   const StoreItem &item) {
  const auto order = parseRolloutOrder(item.Value);
  if (!item.Deleted && !order)
    report(gateway::EntryRefused{item.Key});
  if (item.Deleted || !order)
    report(gateway::RolloutWithdrawn{core::ServiceId(service)});
  else
    report(gateway::RolloutCommandChanged{*order});
}

void StoreControlPlane::applyRecord(const StoreItem &item) {
  Records.record(item);
  if (item.Deleted)
    return;
  if (const auto service = RolloutRecords::parseStatusKey(item.Key)) {
    if (const auto status = parseRolloutStatus(*service, item.Value))
      report(gateway::RolloutStatusChanged{*status});
    else
      report(gateway::EntryRefused{item.Key});
  } else if (const auto name = RolloutRecords::parseProgressKey(item.Key)) {
    if (const auto progress = parseProgress(*name, item.Value))
      report(gateway::RolloutProgressChanged{*progress});
    else
      report(gateway::EntryRefused{item.Key});
  }
}

void StoreControlPlane::applyQuarantine(const StoreItem &item) {
  Quarantined.onItem(item);
  // The time of the quarantine ends it, not the end of a lease, which may come
  // early in an outage.
  if (item.Deleted)
    return;
  if (const auto trait = Quarantined.parse(item))
    report(gateway::QuarantineReported{*trait});
  else
    report(gateway::EntryRefused{item.Key});
}

void StoreControlPlane::applyPeer(const std::string &name,
                                  const StoreItem &item) {
  const auto peer = parsePeer(name, item.Value);
  if (!item.Deleted && !peer)
    report(gateway::EntryRefused{item.Key});
  if (item.Deleted || !peer) {
    PeerKeys.erase(item.Key);
    Watcher.setWatcherCount(PeerKeys.size());
    report(gateway::PeerRemoved{core::InstanceId(name)});
    return;
  }
  PeerKeys.insert(item.Key);
  Watcher.setWatcherCount(PeerKeys.size());
  if (peer->Name != Self.Name)
    report(gateway::PeerChanged{*peer});
}

void StoreControlPlane::advance(const rollout::RolloutStatus &status,
                                const rollout::RolloutProgress &progress) {
  // The records that were read are those of an earlier era.
  if (!Watcher.isCurrent())
    return;
  const std::string id = Self.Name.str() + "-" + std::to_string(RecordIds());
  Store.send(StoreCallKind::Advance,
             transactionCall(Records.replace(status, progress, id)),
             AdvanceTimeout, [](const StoreReply &) {
               // The watch delivers the records that are in force.
             });
}

void StoreControlPlane::deregister() { Registration.deregister(); }

std::optional<std::string> StoreControlPlane::snapshot() const {
  auto batch = Watcher.snapshot();
  if (!batch)
    return std::nullopt;
  for (StoreItem &it : batch->Items) {
    if (it.Key == ConfigurationKey && NewestConfiguration)
      it.Value = NewestConfiguration->second;
  }
  return writeListing(*batch);
}

bool StoreControlPlane::adopt(const std::string &snapshot) {
  auto batch = parseListing(snapshot);
  if (!batch)
    return false;
  const auto configuration =
      std::find_if(batch->Items.begin(), batch->Items.end(),
                   [](const auto &it) { return it.Key == ConfigurationKey; });
  if (OnSynced)
    return Watcher.applySnapshot(std::move(batch).value());
  if (configuration == batch->Items.end())
    return false;
  applyConfiguration(*configuration);
  return true;
}

} // namespace cowslipridge::platform
