#include "standins/platform/MetadataStore.hpp"

#include <algorithm>

namespace cowslipridge::standins::platform {

std::optional<StoredItem> MetadataStore::get(const std::string &key) const {
  const auto it = Items.find(key);
  if (it == Items.end())
    return std::nullopt;
  return it->second;
}

std::vector<StoredItem> MetadataStore::list(const std::string &prefix,
                                            const std::string &after) const {
  std::vector<StoredItem> found;
  for (const auto &[key, item] : Items) {
    if (key.starts_with(prefix) && key > after)
      found.push_back(item);
  }
  return found;
}

std::optional<std::vector<StoredItem>>
MetadataStore::changes(const std::string &prefix, std::int64_t after) const {
  if (after < CompactedRevision || after > Revision)
    return std::nullopt;
  std::vector<StoredItem> found;
  for (const StoredItem &it : History) {
    if (it.Revision > after && it.Key.starts_with(prefix))
      found.push_back(it);
  }
  return found;
}

MetadataStore::Outcome
MetadataStore::transact(const std::vector<StoreCondition> &conditions,
                        const std::vector<StoreWrite> &writes,
                        const std::vector<std::string> &removals) {
  for (const StoreCondition &it : conditions) {
    const auto item = get(it.Key);
    if ((item ? item->Revision : 0) != it.Revision)
      return Outcome::ConditionFailed;
  }
  for (const StoreWrite &it : writes) {
    if (it.Lease != 0 && !Leases.contains(it.Lease))
      return Outcome::LeaseNotFound;
  }
  ++Revision;
  for (const StoreWrite &it : writes) {
    const auto previous = get(it.Key);
    StoredItem item{it.Key,   it.Value,
                    Revision, previous ? previous->CreatedRevision : Revision,
                    it.Lease, false};
    Items[it.Key] = item;
    record(std::move(item));
  }
  for (const std::string &key : removals) {
    if (Items.erase(key) != 0)
      record({key, {}, Revision, 0, 0, true});
  }
  return Outcome::Committed;
}

void MetadataStore::put(const std::string &key, const std::string &value) {
  transact({}, {{key, value, 0}}, {});
}

void MetadataStore::remove(const std::string &key) { transact({}, {}, {key}); }

void MetadataStore::restore(const MetadataStore &copy) {
  const std::int64_t era = Era + 1;
  *this = copy;
  Era = era;
}

void MetadataStore::record(StoredItem item) {
  History.push_back(std::move(item));
}

std::int64_t MetadataStore::grantLease(core::Millis lifetime,
                                       core::Millis now) {
  Leases[NextLease] = {lifetime, now + lifetime};
  return NextLease++;
}

std::optional<core::Millis> MetadataStore::renewLease(std::int64_t lease,
                                                      core::Millis now) {
  const auto it = Leases.find(lease);
  if (it == Leases.end())
    return std::nullopt;
  it->second.ExpiresAt = now + it->second.Lifetime;
  return it->second.Lifetime;
}

bool MetadataStore::revokeLease(std::int64_t lease) {
  if (Leases.erase(lease) == 0)
    return false;
  std::vector<std::string> keys;
  for (const auto &[key, item] : Items) {
    if (item.Lease == lease)
      keys.push_back(key);
  }
  if (!keys.empty())
    transact({}, {}, keys);
  return true;
}

void MetadataStore::expireLeases(core::Millis now) {
  std::vector<std::int64_t> expired;
  for (const auto &[id, lease] : Leases) {
    if (lease.ExpiresAt <= now)
      expired.push_back(id);
  }
  for (const std::int64_t id : expired)
    revokeLease(id);
}

} // namespace cowslipridge::standins::platform
