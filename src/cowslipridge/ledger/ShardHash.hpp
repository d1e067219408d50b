#pragma once

#include "cowslipridge/ledger/Records.hpp"

namespace cowslipridge::ledger {

/// Returns the shard of a key. The result is the same in all versions of the
/// program.
unsigned shardOf(const IdempotencyKey &key, unsigned shards);

/// Returns the key that determines the shard of a session's pin, for use with
/// Ledger::ownerOf().
IdempotencyKey pinKey(const SessionPin &pin);

} // namespace cowslipridge::ledger
