#pragma once

#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/platform/Store.hpp"

#include <optional>
#include <string>
#include <variant>

namespace cowslipridge::ledger {

/// Write `Value` if the key's revision is still `Expected` (0: absent).
struct SwapKey {
  std::string Key;
  std::string Value;
  platform::Revision Expected = 0;
};

struct ReadKey {
  std::string Key;
};

/// One call to the store that a decision asks its shell to make.
using StoreCommand = std::variant<SwapKey, ReadKey>;

using ReadReply = core::Result<std::optional<platform::StoreEntry>>;

/// The store's answer to a StoreCommand.
using StoreReply = std::variant<platform::SwapStatus, ReadReply>;

} // namespace cowslipridge::ledger
