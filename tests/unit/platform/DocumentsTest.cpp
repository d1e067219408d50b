#include "cowslipridge/platform/Documents.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

using namespace cowslipridge;
using namespace cowslipridge::platform;

namespace {

constexpr const char *Configuration = R"({
  "version": 7, "unknown": [1],
  "routes": [
    {"name": "r1", "host": "h.example", "pathPrefix": "/a/",
     "routeKind": "streaming", "timeoutMs": 8000, "targetLatencyMs": 3000,
     "priority": 2, "sizes": ["small", "large"], "service": "llm",
     "maxAttempts": 3, "public": false, "streamResumption": true,
     "targetGapMs": 2500},
    {"name": "r2", "host": "h.example", "pathPrefix": "/b/",
     "routeKind": "non_idempotent", "timeoutMs": 1000, "public": true,
     "trafficSplit": [{"service": "x", "weight": 90},
                      {"service": "y", "weight": 10}]},
    {"name": "broken", "routeKind": "streaming"}],
  "services": [
    {"name": "llm", "connectionLimit": 360, "inferenceEngine":
      {"slots": 64, "kvCacheTokens": 1000,
       "models": [{"name": "small", "cost": 0.01},
                  {"name": "large", "cost": 0.1}]}},
    {"name": "x"}],
  "limits": {"maxHeaderBytes": 100, "maxBodyBytes": 200,
             "headerTimeoutMs": 300, "idleTimeoutMs": 400},
  "tenants": [{"name": "t", "apiKeys": ["k1", "k2"], "priority": 1}]})";

TEST(DocumentsTest, parsesConfigurationAndReportsMalformedRoutes) {
  std::string problems;
  const auto parsed = parseCatalogue(Configuration, problems);
  ASSERT_TRUE(parsed.ok());
  EXPECT_EQ(parsed->Version, core::Generation(7));
  ASSERT_EQ(parsed->Routes.size(), 2U);
  const catalogue::Route &stream = parsed->Routes[0];
  EXPECT_EQ(stream.Kind, catalogue::RouteKind::ResumableStream);
  EXPECT_EQ(stream.Models, (std::vector<std::string>{"small", "large"}));
  EXPECT_EQ(stream.TargetGap, core::Millis(2500));
  const catalogue::Route &split = parsed->Routes[1];
  EXPECT_EQ(split.Kind, catalogue::RouteKind::NonIdempotent);
  EXPECT_TRUE(split.Public);
  ASSERT_EQ(split.Services.size(), 2U);
  EXPECT_EQ(split.Services[1].Weight, 10U);
  EXPECT_EQ(split.MaxAttempts, 1U);
  ASSERT_EQ(parsed->Services.size(), 2U);
  EXPECT_EQ(parsed->Services[0].Inference->Models[1].Cost, 0.1);
  EXPECT_EQ(parsed->Limits.IdleTimeout, core::Millis(400));
  ASSERT_TRUE(parsed->Organisations);
  EXPECT_EQ(parsed->Organisations->front().ApiKeys.size(), 2U);
  EXPECT_NE(problems.find("routes"), std::string::npos);
}

// Guards against limits that the configuration allows and nothing serves.
TEST(DocumentsTest, reportsLimitsThatCannotBeServed) {
  struct Case {
    std::string Limits;
    std::size_t HeaderBytes;
    std::string Problem;
  };
  for (const Case &it : std::vector<Case>{
           {R"("maxHeaderBytes": 1048576)", 1'048'576, ""},
           {R"("maxHeaderBytes": 1048577)", 1'048'576,
            "maxHeaderBytes is 1048577, served are 1 to 1048576; "},
           {R"("maxHeaderBytes": -1)", 1,
            "maxHeaderBytes is -1, served are 1 to 1048576; "},
           {R"("maxBodyBytes": 67108865)", 16'384,
            "maxBodyBytes is 67108865, served are 1 to 67108864; "}}) {
    std::string problems;
    const auto parsed = parseCatalogue(
        R"({"version": 1, "limits": {)" + it.Limits + "}}", problems);
    ASSERT_TRUE(parsed.ok());
    EXPECT_EQ(parsed->Limits.MaxHeaderBytes, it.HeaderBytes) << it.Limits;
    EXPECT_EQ(problems, it.Problem);
  }
}

TEST(DocumentsTest, rejectsConfigurationWithoutVersion) {
  std::string problems;
  for (const char *text : {"", "[]", "{}", R"({"version": "7"})", "\xff{"})
    EXPECT_FALSE(parseCatalogue(text, problems).ok()) << text;
}

TEST(DocumentsTest, requiresNoApiKeysWithoutOrganisations) {
  std::string problems;
  const auto parsed = parseCatalogue(R"({"version": 1})", problems);
  ASSERT_TRUE(parsed.ok());
  EXPECT_FALSE(parsed->Organisations);
}

TEST(DocumentsTest, parsesBackendServer) {
  const auto server = parseBackendServer(
      "i-1", R"({"service":"s","address":"10.0.0.9:8080","zone":"z",
                 "version":"v1","slots":64,"state":"draining",
                 "born":1700000000000,"sequenceNumber":4})");
  ASSERT_TRUE(server.ok());
  EXPECT_EQ(server->Id.str(), "i-1");
  EXPECT_EQ(server->Host, "10.0.0.9");
  EXPECT_EQ(server->Port, 8080);
  EXPECT_TRUE(server->Draining);
  EXPECT_EQ(server->StartedAt, core::Millis(1700000000000));
}

TEST(DocumentsTest, rejectsMalformedBackendServerEntries) {
  for (const char *text :
       {"", "null", "{}", "\xff\xfe",
        R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1",
            "slots":"64","state":"available"})",
        R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1",
            "slots":64,"state":"resting"})",
        R"({"service":"s","address":"10.0.0.9","zone":"z","version":"v1",
            "slots":64,"state":"available"})",
        R"({"service":"s","address":"10.0.0.9:99999","zone":"z","version":"v1",
            "slots":64,"state":"available"})",
        R"({"service":7,"address":"10.0.0.9:8080","zone":"z","version":"v1",
            "slots":64,"state":"available"})",
        R"({"service":"s","address":"10.0.0.9:8080","zone":"z","slots":64,
            "state":"available"})"})
    EXPECT_FALSE(parseBackendServer("i", text).ok()) << text;
}

// Guards against an entry that stops every gateway: an address that is not
// numeric was only found out when a request was to be sent to it, where it
// ended the process.
TEST(DocumentsTest, rejectsAddressesThatAreNotNumeric) {
  for (const char *host :
       {"localhost", "10.0.0", "10.0.0.256", "runner.example", " 10.0.0.9"}) {
    const std::string text = R"({"service":"s","zone":"z","version":"v1",
        "slots":64,"state":"available","address":")" +
                             std::string(host) + R"(:8080"})";
    EXPECT_FALSE(parseBackendServer("i", text).ok()) << host;
  }
}

// Guards against an odd entry of another writer that ends every gateway that
// reads the list, or makes its times overflow.
TEST(DocumentsTest, rejectsEntriesWithNumbersOutOfRange) {
  const auto parse = [](const std::string &slots, const std::string &born) {
    return parseBackendServer(
               "i", R"({"service":"s","address":"10.0.0.9:8080","zone":"z",
                        "version":"v1","state":"available","slots":)" +
                        slots + R"(,"born":)" + born + "}")
        .ok();
  };
  EXPECT_TRUE(parse("64", "1700000000000"));
  for (const char *slots :
       {"0", "-1", "4294967297", "18446744073709551615", "1e400", "64.5"})
    EXPECT_FALSE(parse(slots, "1700000000000")) << slots;
  for (const char *born :
       {"-1", "9223372036854775807", "18446744073709551615", "1e30", "1.5",
        "\"now\"", "99999999999999999999999999999999"})
    EXPECT_FALSE(parse("64", born)) << born;
}

TEST(DocumentsTest, rejectsDeeplyNestedEntries) {
  constexpr std::size_t Depth = 100'000;
  const std::string nested = std::string(Depth, '[') + std::string(Depth, ']');
  EXPECT_FALSE(parseBackendServer("i", nested).ok());
  EXPECT_FALSE(parseBackendServer(
                   "i", R"({"service":"s","address":"10.0.0.9:8080","zone":"z",
                   "version":"v1","slots":64,"state":"available","more":)" +
                            nested + "}")
                   .ok());
  EXPECT_FALSE(parseRolloutOrder(nested).ok());
  std::string problems;
  EXPECT_FALSE(parseCatalogue(nested, problems).ok());
}

// Guards against durations that overflow when they are added to a time.
TEST(DocumentsTest, limitsDurationsThatNoClockCanCount) {
  std::string problems;
  const auto parsed = parseCatalogue(
      R"({"version":1,"routes":[{"host":"h","pathPrefix":"/","service":"s",
          "routeKind":"idempotent","timeoutMs":1e300,"targetGapMs":-1e300}]})",
      problems);
  ASSERT_TRUE(parsed.ok());
  ASSERT_EQ(parsed->Routes.size(), 1U);
  EXPECT_GT(parsed->Routes.front().Timeout, core::Millis());
  EXPECT_LE(parsed->Routes.front().Timeout, core::Millis(86'400'000));
  EXPECT_EQ(parsed->Routes.front().TargetGap, core::Millis());
}

TEST(DocumentsTest, parsesRolloutOrdersAndRoundTripsStatuses) {
  const auto order =
      parseRolloutOrder(R"({"service":"s","target":"v2","durationS":1.5})");
  ASSERT_TRUE(order.ok());
  EXPECT_EQ(order->Duration, core::Millis(1500));
  EXPECT_FALSE(parseRolloutOrder(R"({"service":"s","target":"v2"})").ok());
  using enum rollout::RolloutPhase;
  for (const auto phase : {InProgress, Completed, Reverted}) {
    const rollout::RolloutStatus status{core::ServiceId("s"),
                                        core::VersionId("v2"), phase};
    const auto parsed = parseRolloutStatus("s", writeRolloutStatus(status));
    ASSERT_TRUE(parsed.ok());
    EXPECT_EQ(*parsed, status);
  }
}

} // namespace
