#include "cowslipridge/membership/ServerRegistry.hpp"

namespace cowslipridge::membership {

void ServerRegistry::put(const BackendServer &server) {
  PendingRemovals.erase(server.Id);
  Servers.insert_or_assign(server.Id, server);
}

bool ServerRegistry::isUncertain(core::Millis now) const {
  return StoreUnavailable ||
         (StoreAvailableAt && now < *StoreAvailableAt + ReregistrationPeriod);
}

bool ServerRegistry::remove(const core::RunnerId &id, core::Millis now) {
  const auto it = Servers.find(id);
  if (it == Servers.end())
    return false;
  // A runner that reported that it is draining has shut down.
  if (isUncertain(now) && !it->second.Draining) {
    PendingRemovals.insert(id);
    return false;
  }
  Servers.erase(it);
  PendingRemovals.erase(id);
  return true;
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
  std::vector<core::RunnerId> removed;
  if (isUncertain(now))
    return removed;
  for (const core::RunnerId &id : PendingRemovals) {
    if (Servers.erase(id) != 0)
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
