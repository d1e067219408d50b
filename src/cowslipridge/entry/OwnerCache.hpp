#pragma once

#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/ledger/Records.hpp"

#include <map>
#include <optional>
#include <utility>

namespace cowslipridge::entry {

/// The last known owner of each shard of idempotency keys. A cached owner may
/// be out of date; a sidecar that is not the owner redirects the request.
class OwnerCache {
public:
  /// Returns the owner of a key's shard, if one is known.
  [[nodiscard]] std::optional<core::InstanceId>
  find(const ledger::IdempotencyKey &key, unsigned shards) const;
  void setOwner(const ledger::IdempotencyKey &key, unsigned shards,
                const core::InstanceId &owner);
  /// Removes all shards of an instance that no longer responds.
  void removeOwner(const core::InstanceId &owner);

private:
  using Shard = std::pair<core::ServiceId, unsigned>;
  std::map<Shard, core::InstanceId> Owners;
};

} // namespace cowslipridge::entry
