#pragma once

#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/ledger/Records.hpp"

#include <string>
#include <string_view>

namespace cowslipridge::ledger {

/// Encodes one bill as a line of JSON, for transfer between processes.
std::string encodeBill(const Bill &bill);
/// Decodes a line written by encodeBill(). Returns Errc::Malformed for any
/// other text.
core::Result<Bill> decodeBill(std::string_view line);

} // namespace cowslipridge::ledger
