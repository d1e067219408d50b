#include "cowslipridge/ledger/RecordCodec.hpp"

#include "cowslipridge/core/Visit.hpp"

#include <stdexcept>

namespace cowslipridge::ledger::codec {

namespace {

// Field and type names are short because every record is kept in the store.
constexpr auto TypeField = "t";

std::string textAt(const Json &json, const char *name) {
  return bytesOfText(json.at(name).get<std::string>());
}

template <typename T> T numberAt(const Json &json, const char *name) {
  const Json &value = json.at(name);
  if (!value.is_number_integer())
    throw std::invalid_argument(name);
  return value.get<T>();
}

template <typename IdType> IdType idAt(const Json &json, const char *name) {
  return IdType(textAt(json, name));
}

core::Outcome outcomeAt(const Json &json) {
  const auto text = json.at("res").get<std::string>();
  for (const core::Outcome it :
       {core::Outcome::Ran, core::Outcome::NotRun, core::Outcome::Unknown}) {
    if (text == core::toString(it))
      return it;
  }
  throw std::invalid_argument("res");
}

IdempotencyKey keyOf(const Json &json) {
  return {idAt<core::OrganisationId>(json, "org"),
          idAt<core::ServiceId>(json, "svc"), textAt(json, "key")};
}

Json encodeKey(const char *type, const IdempotencyKey &key) {
  return {{TypeField, type},
          {"org", textOfBytes(key.Organisation.str())},
          {"svc", textOfBytes(key.Service.str())},
          {"key", textOfBytes(key.Key)}};
}

Json encodePart(const BillPart &part) {
  return {{"ver", textOfBytes(part.Version.str())},
          {"part", textOfBytes(part.Part)},
          {"res", core::toString(part.Result)},
          {"pt", part.PromptTokens},
          {"at", part.AnswerTokens},
          {"cost", part.CostMicro}};
}

BillPart decodePart(const Json &json) {
  return {idAt<core::VersionId>(json, "ver"),
          textAt(json, "part"),
          outcomeAt(json),
          numberAt<std::uint64_t>(json, "pt"),
          numberAt<std::uint64_t>(json, "at"),
          numberAt<std::uint64_t>(json, "cost")};
}

Json encodeClaim(const Claim &claim) {
  Json json = encodeKey("claim", claim.Key);
  json["req"] = textOfBytes(claim.Request.str());
  json["at"] = claim.At.count();
  return json;
}

Json encodeOutcome(const ClaimOutcome &outcome) {
  Json json = encodeKey("outcome", outcome.Key);
  json["res"] = core::toString(outcome.Result);
  json["status"] = outcome.Status;
  json["answer"] = textOfBytes(outcome.Answer);
  return json;
}

Json encodeBill(const Bill &bill) {
  Json parts = Json::array();
  for (const BillPart &part : bill.Parts)
    parts.push_back(encodePart(part));
  return {{TypeField, "bill"},
          {"req", textOfBytes(bill.Request.str())},
          {"org", textOfBytes(bill.Organisation.str())},
          {"svc", textOfBytes(bill.Service.str())},
          {"res", core::toString(bill.Result)},
          {"at", bill.At.count()},
          {"parts", std::move(parts)}};
}

Bill decodeBill(const Json &json) {
  Bill bill{idAt<core::RequestId>(json, "req"),
            idAt<core::OrganisationId>(json, "org"),
            idAt<core::ServiceId>(json, "svc"),
            outcomeAt(json),
            {},
            core::Millis(numberAt<std::int64_t>(json, "at"))};
  for (const Json &part : json.at("parts"))
    bill.Parts.push_back(decodePart(part));
  return bill;
}

Json encodePin(const SessionPin &pin) {
  return {{TypeField, "pin"},
          {"org", textOfBytes(pin.Organisation.str())},
          {"svc", textOfBytes(pin.Service.str())},
          {"session", textOfBytes(pin.Session.str())},
          {"ver", textOfBytes(pin.Version.str())}};
}

Json encodeShard(const char *type, const core::ServiceId &service,
                 unsigned shard) {
  return {
      {TypeField, type}, {"svc", textOfBytes(service.str())}, {"shard", shard}};
}

void appendCodePoint(std::string &text, unsigned char byte) {
  if (byte < 0x80) {
    text += static_cast<char>(byte);
    return;
  }
  text += static_cast<char>(0xC0 | (byte >> 6));
  text += static_cast<char>(0x80 | (byte & 0x3F));
}

} // namespace

std::string textOfBytes(const std::string &bytes) {
  std::string text;
  text.reserve(bytes.size());
  for (const char it : bytes)
    appendCodePoint(text, static_cast<unsigned char>(it));
  return text;
}

std::string bytesOfText(const std::string &text) {
  std::string bytes;
  bytes.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto lead = static_cast<unsigned char>(text[i]);
    if (lead < 0x80) {
      bytes += text[i];
      continue;
    }
    if ((lead & 0xFC) != 0xC0 || i + 1 == text.size())
      throw std::invalid_argument("code point above 255");
    const auto trail = static_cast<unsigned char>(text[++i]);
    bytes += static_cast<char>((lead & 0x03) << 6 | (trail & 0x3F));
  }
  return bytes;
}

Json encodeRecord(const JournalRecord &record) {
  return std::visit(
      core::Overloaded{[](const Claim &x) { return encodeClaim(x); },
                       [](const ClaimOutcome &x) { return encodeOutcome(x); },
                       [](const Bill &x) { return encodeBill(x); },
                       [](const SessionPin &x) { return encodePin(x); },
                       [](const ShardRelease &x) {
                         return encodeShard("release", x.Service, x.Shard);
                       },
                       [](const ShardAdoption &x) {
                         return encodeShard("adoption", x.Service, x.Shard);
                       }},
      record);
}

JournalRecord decodeRecord(const Json &json) {
  const auto type = json.at(TypeField).get<std::string>();
  if (type == "claim")
    return Claim{keyOf(json), idAt<core::RequestId>(json, "req"),
                 core::Millis(numberAt<std::int64_t>(json, "at"))};
  if (type == "outcome")
    return ClaimOutcome{keyOf(json), outcomeAt(json),
                        numberAt<int>(json, "status"), textAt(json, "answer")};
  if (type == "bill")
    return decodeBill(json);
  if (type == "pin")
    return SessionPin{idAt<core::OrganisationId>(json, "org"),
                      idAt<core::ServiceId>(json, "svc"),
                      idAt<core::SessionId>(json, "session"),
                      idAt<core::VersionId>(json, "ver")};
  if (type == "release")
    return ShardRelease{idAt<core::ServiceId>(json, "svc"),
                        numberAt<unsigned>(json, "shard")};
  if (type == "adoption")
    return ShardAdoption{idAt<core::ServiceId>(json, "svc"),
                         numberAt<unsigned>(json, "shard")};
  throw std::invalid_argument("unknown record type");
}

} // namespace cowslipridge::ledger::codec
