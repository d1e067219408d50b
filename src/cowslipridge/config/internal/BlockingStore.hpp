#pragma once

#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/platform/Store.hpp"

#include <optional>
#include <string>

namespace cowslipridge::config::internal {

/// Waits for the answers of a store. For command-line tools; a daemon must not
/// block.
class BlockingStore {
public:
  explicit BlockingStore(platform::Store &store);

  core::Result<std::optional<platform::StoreEntry>> get(const std::string &key);
  platform::SwapStatus compareAndSwap(const std::string &key,
                                      const std::string &value,
                                      platform::Revision expected);
  platform::SwapStatus compareAndDelete(const std::string &key,
                                        platform::Revision expected);

private:
  platform::Store &Store;
};

} // namespace cowslipridge::config::internal
