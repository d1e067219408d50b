#pragma once

#include "cowslipridge/backing/Store.hpp"
#include "cowslipridge/core/Result.hpp"

#include <optional>
#include <string>

namespace cowslipridge::config::internal {

/// Calls a store synchronously. For command-line tools only, because a daemon
/// must not block.
class BlockingStore {
public:
  explicit BlockingStore(backing::Store &store);

  core::Result<std::optional<backing::StoreEntry>> get(const std::string &key);
  backing::SwapStatus compareAndSwap(const std::string &key,
                                     const std::string &value,
                                     backing::Revision expected);
  backing::SwapStatus compareAndDelete(const std::string &key,
                                       backing::Revision expected);

private:
  backing::Store &Store;
};

} // namespace cowslipridge::config::internal
