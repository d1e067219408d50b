#include "cowslipridge/ledger/BillCodec.hpp"

#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/ledger/RecordCodec.hpp"

#include <stdexcept>

namespace cowslipridge::ledger {

std::string encodeBill(const Bill &bill) {
  return codec::encodeRecord(JournalRecord(bill)).dump();
}

core::Result<Bill> decodeBill(std::string_view line) {
  try {
    const codec::Json json = codec::Json::parse(line);
    const JournalRecord record = codec::decodeRecord(json);
    if (const auto *bill = std::get_if<Bill>(&record))
      return *bill;
  } catch (const codec::Json::exception &) {
    return core::Errc::Malformed;
  } catch (const std::invalid_argument &) {
    return core::Errc::Malformed;
  }
  return core::Errc::Malformed;
}

} // namespace cowslipridge::ledger
