#include "cowslipridge/backing/internal/GradeCodec.hpp"
#include "cowslipridge/backing/internal/InstanceCodec.hpp"
#include "cowslipridge/backing/internal/KvCodec.hpp"
#include "cowslipridge/core/Base64.hpp"
#include "cowslipridge/core/UriEncoding.hpp"

#include "cowslipridge/http/Message.hpp"

#include "support/PropertyChecks.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

using namespace cowslipridge;
using namespace cowslipridge::backing;
using namespace cowslipridge::backing::internal;

namespace {

constexpr int CaseCount = 10'000;

TEST(CodecProperty, base64RoundTripsArbitraryBytes) {
  support::expectHolds(CaseCount, [](const std::string &bytes) {
    RC_ASSERT(core::decodeBase64(core::encodeBase64(bytes)) == bytes);
  });
}

TEST(CodecProperty, base64DecodesOrRejectsArbitraryText) {
  support::expectHolds(CaseCount, [](const std::string &text) {
    const auto bytes = core::decodeBase64(text);
    const bool same =
        !bytes || core::encodeBase64(*bytes).size() == text.size();
    RC_ASSERT(same);
  });
}

TEST(CodecProperty, percentEncodedTextSurvivesARoundTrip) {
  support::expectHolds(CaseCount, [](const std::string &text) {
    const std::string query = "a=" + core::encodeComponent(text);
    RC_ASSERT(http::findQueryParameter(query, "a") == text);
    RC_ASSERT(core::encodePath(text).find_first_of("?# \r\n") ==
              std::string::npos);
  });
}

// Corrupt responses of each service must lead to an error or to fewer entries,
// never to a crash.
TEST(CodecProperty, codecsAcceptArbitraryBytes) {
  support::expectHolds(CaseCount, [](const std::string &body) {
    parseEntries(body);
    parseDecision(body);
    parseHealth(body);
    parseGrades(body);
  });
}

std::string corrupt(std::string body) {
  const auto at = *rc::gen::inRange<std::size_t>(0, body.size());
  body[at] = *rc::gen::arbitrary<char>();
  return body.substr(0, *rc::gen::inRange<std::size_t>(0, body.size() + 1));
}

TEST(CodecProperty, codecsAcceptCorruptResponses) {
  const std::string entries =
      R"([{"Key":"a/b","ModifyIndex":7,"Value":"eA=="},{"Key":"c",)"
      R"("ModifyIndex":8,"Value":null}])";
  const std::string grades =
      R"([{"type":"cowslipridge.grade","subject":"r1","data":{"score":0.5}}])";
  const std::string health =
      R"([{"Service":{"ID":"e","Address":"127.0.0.1","Port":1,"Meta":{"role":)"
      R"("entry","incarnation":"1","rpc_port":"2","versions":"[]"}}}])";
  EXPECT_EQ(parseEntries(entries)->size(), 2U);
  EXPECT_EQ(parseGrades(grades)->size(), 1U);
  EXPECT_EQ(parseHealth(health)->size(), 1U);
  support::expectHolds(CaseCount, [&] {
    const auto parsed = parseGrades(corrupt(grades));
    if (parsed)
      for (const Grade &it : *parsed)
        RC_ASSERT(it.Score >= 0 && it.Score <= 1);
    parseEntries(corrupt(entries));
    parseHealth(corrupt(health));
  });
}

TEST(CodecProperty, registrationsSurviveARoundTrip) {
  support::expectHolds(CaseCount / 10, [&] {
    InstanceRecord record;
    record.Name = core::InstanceId(
        "i" + *rc::gen::container<std::string>(rc::gen::inRange(' ', '~')));
    record.Kind = *rc::gen::element(Role::Entry, Role::Sidecar);
    record.Start = core::Incarnation(*rc::gen::arbitrary<std::uint64_t>());
    record.Address = "127.0.0.1";
    record.RpcPort = *rc::gen::arbitrary<std::uint16_t>();
    record.HttpPort = *rc::gen::arbitrary<std::uint16_t>();
    for (const auto &it : *rc::gen::container<std::vector<std::uint32_t>>(
             rc::gen::arbitrary<std::uint32_t>()))
      record.Versions.emplace_back("v@" + std::to_string(it) + ",\"");
    record.Leaving = *rc::gen::arbitrary<bool>();
    const auto registration = nlohmann::json::parse(writeRegistration(record));
    const auto response =
        nlohmann::json::array({{{"Service", registration}}}).dump();
    const auto records = parseHealth(response);
    RC_ASSERT(records.ok());
    RC_ASSERT(records->size() == 1U);
    RC_ASSERT(records->front() == record);
  });
}

} // namespace
