#include "cowslipridge/platform/HeaderTranslator.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::platform;

namespace {

http1::RequestHead makeCallerHead() {
  http1::RequestHead head;
  head.Method = "POST";
  head.Target = "/a/b?x=1";
  for (const auto &[name, value] :
       std::vector<std::pair<std::string, std::string>>{
           {"Host", "h.example"},
           {"Attempt-Id", "9c41"},
           {"Authorization", "Token secret"},
           {"Deadline-Remaining", "12000"},
           {"Last-Event-Id", "12"},
           {"Model-Name", "*"},
           {"Token-Usage", "1460,80"},
           {"Prompt-Prefix", "5c1e:800,e4:250"},
           {"Session", "s1"},
           {"X-Other", "kept"}})
    head.Fields.add(name, value);
  return head;
}

TEST(HeaderTranslatorTest, parsesRequestHeadOfCaller) {
  const auto caller = HeaderTranslator().readRequest(makeCallerHead());
  ASSERT_TRUE(caller.ok());
  EXPECT_EQ(caller->Id.str(), "9c41");
  EXPECT_EQ(caller->Path, "/a/b");
  EXPECT_EQ(caller->ApiKey, "secret");
  EXPECT_EQ(caller->Remaining, core::Millis(12'000));
  EXPECT_EQ(caller->LastEventId, 12U);
  EXPECT_TRUE(caller->AnyModel);
  EXPECT_EQ(caller->PromptTokens, 1460U);
  EXPECT_EQ(caller->MaxOutputTokens, 80U);
  EXPECT_EQ(caller->Prompt,
            (std::vector<gateway::PromptPart>{{0x5c1e, 800}, {0xe4, 250}}));
  EXPECT_EQ(caller->Session.str(), "s1");
}

TEST(HeaderTranslatorTest, rejectsRequestWithRepeatedField) {
  for (const char *name : {"Attempt-Id", "authorization", "Model-Name"}) {
    http1::RequestHead head = makeCallerHead();
    head.Fields.add(name, "other");
    EXPECT_FALSE(HeaderTranslator().readRequest(head).ok()) << name;
  }
}

TEST(HeaderTranslatorTest, replacesGatewayFieldsSetByCaller) {
  http1::RequestHead head = makeCallerHead();
  for (const char *name :
       {"Tenant-Name", "Expected-Instance", "Expected-Version",
        "Request-Priority", "Cache-Retention", "Pin-Duration", "Kv-Backup",
        "Kv-From", "kv-fetch"})
    head.Fields.add(name, "forged");
  gateway::RelayAttributes attributes;
  attributes.Runner = core::RunnerId("i-7");
  attributes.Organisation = core::OrganisationId("one");
  attributes.Remaining = core::Millis(900);
  attributes.Model = "large";
  attributes.LastEventId = 30;
  attributes.Urgency = 2;
  const http1::RequestHead relayed = HeaderTranslator().relay(head, attributes);
  for (const http1::HeaderField it : relayed.Fields)
    EXPECT_NE(it.Value, "forged") << it.Name;
  EXPECT_EQ(relayed.Method, "POST");
  EXPECT_EQ(relayed.Target, "/a/b?x=1");
  EXPECT_EQ(relayed.Fields.find("Attempt-Id"), "9c41");
  EXPECT_EQ(relayed.Fields.find("X-Other"), "kept");
  EXPECT_EQ(relayed.Fields.find("Token-Usage"), "1460,80");
  EXPECT_EQ(relayed.Fields.find("Expected-Instance"), "i-7");
  EXPECT_EQ(relayed.Fields.find("Tenant-Name"), "one");
  EXPECT_EQ(relayed.Fields.find("Deadline-Remaining"), "900");
  EXPECT_EQ(relayed.Fields.find("Model-Name"), "large");
  EXPECT_EQ(relayed.Fields.find("Last-Event-Id"), "30");
  EXPECT_FALSE(relayed.Fields.find("Authorization"));
  EXPECT_EQ(relayed.Fields.count("Deadline-Remaining"), 1U);
}

TEST(HeaderTranslatorTest, parsesResponseHeadOfRunner) {
  http1::ResponseHead head;
  head.Status = 200;
  head.Fields.add("Attempt-Id", "9c41");
  head.Fields.add("Response-Signature", "3e.1b");
  head.Fields.add("Estimate-Confidence", "61");
  const auto attributes = HeaderTranslator().readResponse(head);
  EXPECT_TRUE(attributes.Authentic);
  EXPECT_FALSE(attributes.NotRun);
  EXPECT_EQ(attributes.Confidence, 61);
  EXPECT_EQ(attributes.Id.str(), "9c41");
}

TEST(HeaderTranslatorTest, answersCarryExactlyOneSignature) {
  http1::ResponseHead head;
  EXPECT_FALSE(HeaderTranslator().readResponse(head).Authentic);
  head.Fields.add("Response-Signature", "");
  EXPECT_FALSE(HeaderTranslator().readResponse(head).Authentic);
  head.Fields.set("Response-Signature", "3e.1b");
  EXPECT_TRUE(HeaderTranslator().readResponse(head).Authentic);
  head.Fields.add("Response-Signature", "3e.1b");
  EXPECT_FALSE(HeaderTranslator().readResponse(head).Authentic);
}

TEST(HeaderTranslatorTest, answersStateTheirVersionAndConfidenceOnce) {
  for (const char *name : {"Estimate-Confidence", "Weight-Versions"}) {
    http1::ResponseHead head;
    head.Fields.add(name, "7");
    head.Fields.add(name, "7");
    EXPECT_TRUE(HeaderTranslator().readResponse(head).Flaw.empty()) << name;
    head.Fields.add(name, "8");
    EXPECT_FALSE(HeaderTranslator().readResponse(head).Flaw.empty()) << name;
  }
}

// Guards against unsafe requests that run twice, as their runner has run them
// and answers with a status that other runners use for a rejection.
TEST(HeaderTranslatorTest,
     onlyTheNotExecutedFieldStatesThatTheRequestDidNotRun) {
  for (const int status : {400, 408, 421, 429, 500, 503}) {
    http1::ResponseHead head;
    head.Status = status;
    EXPECT_FALSE(HeaderTranslator().readResponse(head).NotRun) << status;
    head.Fields.add("Not-Executed", "1");
    EXPECT_TRUE(HeaderTranslator().readResponse(head).NotRun) << status;
  }
}

TEST(HeaderTranslatorTest, addsRetryAfterToGatewayResponses) {
  const auto head = HeaderTranslator().localReply(503, core::RequestId("9c41"),
                                                  core::Millis(1'250));
  EXPECT_EQ(head.Fields.find("Retry-After"), "1.250");
  EXPECT_EQ(head.Fields.find("Attempt-Id"), "9c41");
  EXPECT_FALSE(head.Fields.find("Response-Signature"));
}

TEST(HeaderTranslatorTest, parsesWhatRunnersStateAboutThemselves) {
  const auto read = [](int status, const std::string &name,
                       const std::string &value) {
    http1::ResponseHead head;
    head.Status = status;
    head.Fields.add(name, value);
    return HeaderTranslator().readResponse(head);
  };
  EXPECT_TRUE(read(200, "Server-Leaving", "1").RunnerLeaving);
  EXPECT_FALSE(read(200, "Server-Leaving", "0").RunnerLeaving);
  EXPECT_FALSE(read(200, "Other", "1").RunnerLeaving);
  EXPECT_FALSE(read(421, "Server-Leaving", "1").RunnerLeaving)
      << "another runner answered";
  EXPECT_EQ(read(503, "Retry-After", "2").Backoff, core::Millis(2'000));
  EXPECT_EQ(read(503, "Retry-After", "0.2501").Backoff, core::Millis(251));
  EXPECT_EQ(read(503, "Retry-After", "1e30").Backoff, std::nullopt);
  EXPECT_EQ(read(503, "Retry-After", "99999999999").Backoff,
            core::Millis(86'400'000));
  for (const char *malformed :
       {"", "soon", "-1", "nan", "inf", "1s", "Fri, 04 Dec 2026 08:00:00 GMT"})
    EXPECT_EQ(read(503, "Retry-After", malformed).Backoff, std::nullopt)
        << malformed;
  EXPECT_EQ(read(429, "Retry-After", "2").Backoff, std::nullopt);
}

TEST(HeaderTranslatorTest, namesTheRunnerThatHasThePrefix) {
  gateway::RelayAttributes attributes;
  EXPECT_FALSE(HeaderTranslator()
                   .relay(makeCallerHead(), attributes)
                   .Fields.find("Kv-Fetch"));
  attributes.PrefixSource = "10.0.0.4:8088";
  EXPECT_EQ(HeaderTranslator()
                .relay(makeCallerHead(), attributes)
                .Fields.find("Kv-Fetch"),
            "10.0.0.4:8088");
}

TEST(HeaderTranslatorTest, readsTheRateLimitOfARunner) {
  const HeaderTranslator translator;
  const auto limitOf = [&](int status, const std::string &value) {
    http1::ResponseHead head;
    head.Status = status;
    head.Fields.add("Server-Limit", value);
    return translator.readResponse(head).RateLimit;
  };
  EXPECT_EQ(limitOf(200, "2.3"), 2.3);
  EXPECT_EQ(limitOf(503, "1"), 1.0);
  EXPECT_EQ(limitOf(200, "0"), 0.0);
  for (const char *value : {"", "x", "-1", "2.3 a second", "nan", "inf", "1e9"})
    EXPECT_EQ(limitOf(200, value), std::nullopt) << value;
  // Another runner answered.
  EXPECT_EQ(limitOf(421, "2.3"), std::nullopt);
  EXPECT_EQ(translator.readResponse({}).RateLimit, std::nullopt);
}

} // namespace
