#pragma once

#include "cowslipridge/ledger/Records.hpp"

#include <nlohmann/json.hpp>
#include <string>

/// JSON form of journal records. Internal to the ledger.
namespace cowslipridge::ledger::codec {

using Json = nlohmann::json;

/// Carries arbitrary bytes through JSON text: each byte becomes the code point
/// of the same number, so that ASCII stays readable.
std::string textOfBytes(const std::string &bytes);
/// The bytes again; throws std::invalid_argument for other text.
std::string bytesOfText(const std::string &text);

Json encodeRecord(const JournalRecord &record);
/// Throws Json::exception or std::invalid_argument for anything else.
JournalRecord decodeRecord(const Json &json);

} // namespace cowslipridge::ledger::codec
