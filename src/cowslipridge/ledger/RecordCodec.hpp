#pragma once

#include "cowslipridge/ledger/Records.hpp"

#include <nlohmann/json.hpp>
#include <string>

/// JSON encoding of journal records. Internal to the ledger.
namespace cowslipridge::ledger::codec {

using Json = nlohmann::json;

/// Encodes arbitrary bytes as JSON text: each byte becomes the code point of
/// the same value, so that ASCII stays readable.
std::string textOfBytes(const std::string &bytes);
/// Reverses textOfBytes(). Throws std::invalid_argument for text that it cannot
/// have returned.
std::string bytesOfText(const std::string &text);

Json encodeRecord(const JournalRecord &record);
/// Reverses encodeRecord(). Throws Json::exception or std::invalid_argument for
/// JSON that is no record.
JournalRecord decodeRecord(const Json &json);

} // namespace cowslipridge::ledger::codec
