#include "cowslipridge/membership/ServerRegistry.hpp"

namespace cowslipridge::membership {

void ServerRegistry::put(const BackendServer &server) {
  PendingRemovals.erase(server.Id);
  HeldEntries.erase(server.Id);
  History.recordRegistered(server.Id);
  BackendServer entry = server;
  entry.Draining = entry.Draining || Leaving.contains(entry);
  Servers.insert_or_assign(server.Id, entry);
}

bool ServerRegistry::onLeaving(const core::RunnerId &id, core::Millis startedAt,
                               core::Millis now) {
  const bool isNew = Leaving.record(id, startedAt, now);
  const auto it = Servers.find(id);
  if (it != Servers.end() && Leaving.contains(it->second))
    it->second.Draining = true;
  return isNew;
}

bool ServerRegistry::isUncertain(core::Millis now) const {
  return StoreUnavailable ||
         (StoreAvailableAt && now < *StoreAvailableAt + ReregistrationPeriod);
}

void ServerRegistry::erase(std::map<core::RunnerId, BackendServer>::iterator it,
                           core::Millis now) {
  History.recordLeft(it->second, now);
  Servers.erase(it);
}

bool ServerRegistry::remove(const core::RunnerId &id, core::Millis now) {
  HeldEntries.erase(id);
  const auto it = Servers.find(id);
  if (it == Servers.end())
    return false;
  // A runner that reported that it is draining has shut down.
  if (isUncertain(now) && !it->second.Draining) {
    PendingRemovals.insert(id);
    return false;
  }
  erase(it, now);
  PendingRemovals.erase(id);
  return true;
}

std::vector<BackendServer>
ServerRegistry::reconcile(const std::vector<BackendServer> &servers,
                          bool afterRestore, core::Millis now) {
  HeldEntries.clear();
  if (!afterRestore)
    return servers;
  std::vector<BackendServer> kept;
  for (const BackendServer &it : servers) {
    const BackendServer *known = find(it.Id);
    if (known == nullptr && History.hasLeft(it))
      HeldEntries.insert_or_assign(it.Id, HeldEntry{it, now});
    else
      kept.push_back(known != nullptr && isOutdated(it, *known) ? *known : it);
  }
  return kept;
}

std::vector<BackendServer> ServerRegistry::takeConfirmed(core::Millis now) {
  std::vector<BackendServer> confirmed;
  std::erase_if(HeldEntries, [&](const auto &held) {
    const bool due = now - held.second.Since >= HeldEntryPeriod;
    if (due)
      confirmed.push_back(held.second.Server);
    return due;
  });
  return confirmed;
}

std::vector<core::RunnerId>
ServerRegistry::replaceAll(const std::vector<BackendServer> &servers,
                           core::Millis now) {
  std::set<core::RunnerId> present;
  for (const BackendServer &it : servers) {
    put(it);
    present.insert(it.Id);
  }
  std::vector<core::RunnerId> missing;
  for (const auto &[id, server] : Servers) {
    if (!present.contains(id))
      missing.push_back(id);
  }
  std::erase_if(missing, [&](const auto &id) { return !remove(id, now); });
  return missing;
}

void ServerRegistry::onStoreAvailable(core::Millis now) {
  StoreUnavailable = false;
  StoreAvailableAt = now;
}

std::vector<core::RunnerId> ServerRegistry::tick(core::Millis now) {
  History.tick(now);
  for (const auto &[id, server] : Servers) {
    if (server.Draining)
      Leaving.keep(id, now);
  }
  Leaving.tick(now);
  std::vector<core::RunnerId> removed;
  if (isUncertain(now))
    return removed;
  for (const core::RunnerId &id : PendingRemovals) {
    const auto it = Servers.find(id);
    if (it == Servers.end())
      continue;
    erase(it, now);
    removed.push_back(id);
  }
  PendingRemovals.clear();
  return removed;
}

const BackendServer *ServerRegistry::find(const core::RunnerId &id) const {
  const auto it = Servers.find(id);
  return it == Servers.end() ? nullptr : &it->second;
}

} // namespace cowslipridge::membership
