#include "cowslipridge/sidecar/BillLine.hpp"

#include "cowslipridge/ledger/RecordCodec.hpp"

#include <exception>

namespace cowslipridge::sidecar {

std::string writeBillLine(const ledger::Bill &bill) {
  return ledger::codec::encodeRecord(bill).dump();
}

std::optional<ledger::Bill> readBillLine(const std::string &line) {
  try {
    const ledger::JournalRecord record =
        ledger::codec::decodeRecord(ledger::codec::Json::parse(line));
    const auto *bill = std::get_if<ledger::Bill>(&record);
    return bill == nullptr ? std::nullopt : std::optional(*bill);
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace cowslipridge::sidecar
