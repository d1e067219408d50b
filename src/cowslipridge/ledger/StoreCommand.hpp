#pragma once

#include "cowslipridge/backing/Store.hpp"
#include "cowslipridge/core/Result.hpp"

#include <optional>
#include <string>
#include <variant>

namespace cowslipridge::ledger {

/// Writes `Value` if the key's revision is still `Expected` (0: absent).
struct SwapKey {
  std::string Key;
  std::string Value;
  backing::Revision Expected = 0;
};

struct ReadKey {
  std::string Key;
};

/// One call to the store, returned by a state machine for its caller to make.
using StoreCommand = std::variant<SwapKey, ReadKey>;

using ReadReply = core::Result<std::optional<backing::StoreEntry>>;

/// The store's reply to a StoreCommand.
using StoreReply = std::variant<backing::SwapStatus, ReadReply>;

} // namespace cowslipridge::ledger
