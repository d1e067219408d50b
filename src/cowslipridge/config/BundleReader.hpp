#pragma once

#include "cowslipridge/backing/Store.hpp"
#include "cowslipridge/config/Declaration.hpp"
#include "cowslipridge/config/Manifest.hpp"
#include "cowslipridge/core/Result.hpp"

namespace cowslipridge::config {

/// The configuration in force, with its manifest (who published each service).
struct StoredBundle {
  Manifest Index;
  Bundle Services;
};

/// Reads the configuration that is in force in the store; for command-line
/// tools. Blocks. Generation 0 with no services means that nothing was ever
/// published.
core::Result<StoredBundle> readStoredBundle(backing::Store &store);

} // namespace cowslipridge::config
