#pragma once

#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/ledger/Records.hpp"

#include <string>
#include <string_view>

namespace cowslipridge::ledger {

/// One bill as a line of JSON, for handing it from process to process.
std::string encodeBill(const Bill &bill);
/// Errc::Malformed for anything that encodeBill() does not write.
core::Result<Bill> decodeBill(std::string_view line);

} // namespace cowslipridge::ledger
