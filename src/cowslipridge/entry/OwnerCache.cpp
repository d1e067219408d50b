#include "cowslipridge/entry/OwnerCache.hpp"

#include "cowslipridge/ledger/Ledger.hpp"

namespace cowslipridge::entry {

std::optional<core::InstanceId>
OwnerCache::find(const ledger::IdempotencyKey &key, unsigned shards) const {
  const auto it = Owners.find({key.Service, ledger::shardOf(key, shards)});
  return it == Owners.end() ? std::nullopt : std::optional(it->second);
}

void OwnerCache::setOwner(const ledger::IdempotencyKey &key, unsigned shards,
                          const core::InstanceId &owner) {
  Owners[{key.Service, ledger::shardOf(key, shards)}] = owner;
}

void OwnerCache::removeOwner(const core::InstanceId &owner) {
  std::erase_if(Owners, [&](const auto &x) { return x.second == owner; });
}

} // namespace cowslipridge::entry
