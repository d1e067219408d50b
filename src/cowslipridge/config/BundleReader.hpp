#pragma once

#include "cowslipridge/backing/Store.hpp"
#include "cowslipridge/config/Declaration.hpp"
#include "cowslipridge/config/Manifest.hpp"
#include "cowslipridge/core/Result.hpp"

namespace cowslipridge::config {

/// What is in force, with who put it there.
struct StoredBundle {
  Manifest Index;
  Bundle Services;
};

/// Reads what the store has in force now; for command-line tools. Blocks.
/// Generation 0 with no services means that nothing was ever published.
core::Result<StoredBundle> readStoredBundle(backing::Store &store);

} // namespace cowslipridge::config
