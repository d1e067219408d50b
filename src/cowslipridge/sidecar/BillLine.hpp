#pragma once

#include "cowslipridge/ledger/Records.hpp"

#include <optional>
#include <string>

namespace cowslipridge::sidecar {

/// One bill as a line of JSON, as peers deliver it.
std::string writeBillLine(const ledger::Bill &bill);
/// The bill; nothing for any other text.
std::optional<ledger::Bill> readBillLine(const std::string &line);

} // namespace cowslipridge::sidecar
