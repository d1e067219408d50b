#pragma once

#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/ledger/Records.hpp"

#include <map>
#include <optional>
#include <utility>

namespace cowslipridge::entry {

/// Who owned which part of the idempotency keys when last heard: hints that
/// the sidecars correct on use.
class OwnerCache {
public:
  /// The owner of a key's shard, if one is known.
  [[nodiscard]] std::optional<core::InstanceId>
  find(const ledger::IdempotencyKey &key, unsigned shards) const;
  void learn(const ledger::IdempotencyKey &key, unsigned shards,
             const core::InstanceId &owner);
  /// The instance no longer answers.
  void forget(const core::InstanceId &owner);

private:
  using Shard = std::pair<core::ServiceId, unsigned>;
  std::map<Shard, core::InstanceId> Owners;
};

} // namespace cowslipridge::entry
