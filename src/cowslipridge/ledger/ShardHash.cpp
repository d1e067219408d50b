#include "cowslipridge/ledger/ShardHash.hpp"

#include <algorithm>
#include <xxhash.h>

namespace cowslipridge::ledger {

unsigned shardOf(const IdempotencyKey &key, unsigned shards) {
  std::string text = key.Organisation.str();
  text += '\0';
  text += key.Service.str();
  text += '\0';
  text += key.Key;
  const std::uint64_t hash = XXH3_64bits(text.data(), text.size());
  return static_cast<unsigned>(hash % std::max(1U, shards));
}

IdempotencyKey pinKey(const SessionPin &pin) {
  return {pin.Organisation, pin.Service, "session " + pin.Session.str()};
}

} // namespace cowslipridge::ledger
