#include "cowslipridge/ledger/JournalHead.hpp"

#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/ledger/RecordCodec.hpp"

#include <stdexcept>

namespace cowslipridge::ledger {

namespace {

using codec::Json;

Json encodeRecords(const std::vector<JournalRecord> &records) {
  Json list = Json::array();
  for (const JournalRecord &record : records)
    list.push_back(codec::encodeRecord(record));
  return list;
}

std::vector<JournalRecord> decodeRecords(const Json &list) {
  if (!list.is_array())
    throw std::invalid_argument("records");
  std::vector<JournalRecord> records;
  records.reserve(list.size());
  for (const Json &it : list)
    records.push_back(codec::decodeRecord(it));
  return records;
}

JournalHead headOf(const Json &json) {
  if (!json.at("segments").is_number_unsigned())
    throw std::invalid_argument("segments");
  return {codec::bytesOfText(json.at("append").get<std::string>()),
          json.at("segments").get<unsigned>(),
          codec::bytesOfText(json.at("sealed_by").get<std::string>()),
          decodeRecords(json.at("records"))};
}

template <typename Decode>
auto decodeWith(const std::string &text, Decode decode)
    -> core::Result<decltype(decode(Json()))> {
  try {
    return decode(Json::parse(text));
  } catch (const Json::exception &) {
    return core::Errc::Malformed;
  } catch (const std::invalid_argument &) {
    return core::Errc::Malformed;
  }
}

} // namespace

std::string encodeHead(const JournalHead &head) {
  const Json json = {{"append", codec::textOfBytes(head.Append)},
                     {"segments", head.Segments},
                     {"sealed_by", codec::textOfBytes(head.SealedBy)},
                     {"records", encodeRecords(head.Records)}};
  return json.dump();
}

core::Result<JournalHead> decodeHead(const std::string &text) {
  return decodeWith(text, headOf);
}

std::string encodeSegment(const std::vector<JournalRecord> &records) {
  return encodeRecords(records).dump();
}

core::Result<std::vector<JournalRecord>>
decodeSegment(const std::string &text) {
  return decodeWith(text, decodeRecords);
}

std::size_t encodedSize(const JournalRecord &record) {
  return codec::encodeRecord(record).dump().size() + 1;
}

} // namespace cowslipridge::ledger
