#pragma once

#include "cowslipridge/ledger/Records.hpp"

namespace cowslipridge::ledger {

/// The shard of a key; stable across versions of the program.
unsigned shardOf(const IdempotencyKey &key, unsigned shards);

/// The key that places a session's pin in a shard, such as for ownerOf().
IdempotencyKey pinKey(const SessionPin &pin);

} // namespace cowslipridge::ledger
