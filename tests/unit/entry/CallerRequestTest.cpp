#include "cowslipridge/entry/CallerRequest.hpp"
#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/entry/ApiKeys.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::entry;
using core::Errc;

namespace {

config::ServiceDeclaration makeService(const std::string &name,
                                       config::ServiceKind kind,
                                       const std::string &key) {
  config::ServiceDeclaration service;
  service.Name = core::ServiceId(name);
  service.Kind = kind;
  service.Deadline = core::Millis(20'000);
  config::OrganisationDeclaration organisation;
  organisation.Name = core::OrganisationId("org-" + key);
  organisation.KeyHashes = {sha256Hex(key)};
  service.Organisations = {organisation};
  return service;
}

std::shared_ptr<const config::Bundle> makeBundle() {
  auto bundle = std::make_shared<config::Bundle>();
  bundle->Number = core::Generation(1);
  auto model = makeService("fitting", config::ServiceKind::Model, "parent");
  auto plain = makeService("booking", config::ServiceKind::Plain, "desk");
  plain.Calls = {{"list", "POST", "/search", true},
                 {"book", "POST", "/search/book", false}};
  bundle->Services[model.Name] = model;
  bundle->Services[plain.Name] = plain;
  return bundle;
}

http::Request chat(const std::string &body, const std::string &key) {
  return {"POST",
          "/v1/chat/completions",
          {{"Authorization", "Bearer " + key}},
          body};
}

http::Request plainCall(const std::string &method, const std::string &path) {
  return {method,
          "/services/booking" + path,
          {{"Authorization", "Bearer desk"}, {"Accept", "text/plain"}},
          "{}"};
}

const std::string Body =
    R"({"model":"fitting","stream":true,"messages":[{"role":"user","content":"which seat"}]})";

TEST(CallerRequest, parsesChatRequest) {
  const auto it = parseRequest(makeBundle(), chat(Body, "parent"));
  ASSERT_TRUE(it.ok()) << it.error().message();
  EXPECT_EQ(it->Service.str(), "fitting");
  EXPECT_EQ(it->Organisation.str(), "org-parent");
  EXPECT_TRUE(it->Stream);
  EXPECT_TRUE(it->Idempotent);
  EXPECT_EQ(it->TimeLimit, core::Millis(20'000));
  EXPECT_TRUE(it->Request.str().starts_with("r-"));
}

TEST(CallerRequest, distinguishesUnknownKeysFromKeysOfOtherServices) {
  EXPECT_EQ(parseRequest(makeBundle(), chat(Body, "nobody")).error(),
            Errc::Unauthenticated);
  EXPECT_EQ(parseRequest(makeBundle(), chat(Body, "desk")).error(),
            Errc::NotAllowed);
}

TEST(CallerRequest, hidesServiceNamesFromUnauthenticatedCallers) {
  const std::string body = R"({"model":"none","messages":[]})";
  EXPECT_EQ(parseRequest(makeBundle(), chat(body, "nobody")).error(),
            Errc::Unauthenticated);
  EXPECT_EQ(parseRequest(makeBundle(), chat(body, "parent")).error(),
            Errc::UnknownService);
}

TEST(CallerRequest, rejectsMalformedChatRequests) {
  for (const char *it : {"", "[]", "{}", R"({"model":3,"messages":[]})",
                         R"({"model":"fitting","messages":"x"})"})
    EXPECT_EQ(parseRequest(makeBundle(), chat(it, "parent")).error(),
              Errc::Malformed)
        << it;
}

TEST(CallerRequest, retriesWithSameIdempotencyKeyShareRequestId) {
  http::Request message = chat(Body, "parent");
  message.Fields.push_back({"Idempotency-Key", "a"});
  const auto one = parseRequest(makeBundle(), message);
  const auto two = parseRequest(makeBundle(), message);
  EXPECT_EQ(one->Request, two->Request);
  message.Fields.back().Value = "b";
  EXPECT_NE(parseRequest(makeBundle(), message)->Request, one->Request);
}

TEST(CallerRequest, deadlineHeaderCanOnlyShortenTheDeadline) {
  http::Request message = chat(Body, "parent");
  message.Fields.push_back({"Cowslipridge-Deadline-Ms", "500"});
  EXPECT_EQ(parseRequest(makeBundle(), message)->TimeLimit, core::Millis(500));
  message.Fields.back().Value = "90000";
  EXPECT_EQ(parseRequest(makeBundle(), message)->TimeLimit,
            core::Millis(20'000));
  message.Fields.back().Value = "soon";
  EXPECT_EQ(parseRequest(makeBundle(), message).error(), Errc::Malformed);
}

TEST(CallerRequest, plainCallsKeepPathAndQueryButDropTheApiKey) {
  const auto it = parseRequest(makeBundle(), plainCall("GET", "/rinks?day=1"));
  ASSERT_TRUE(it.ok());
  EXPECT_EQ(it->Target, "/rinks?day=1");
  EXPECT_FALSE(http::findHeader(it->Fields, "Authorization"));
  EXPECT_TRUE(http::findHeader(it->Fields, "Accept"));
}

TEST(CallerRequest, longestDeclaredPrefixDecidesIdempotence) {
  const auto bundle = makeBundle();
  const auto idempotent = [&](const char *method, const char *path) {
    return parseRequest(bundle, plainCall(method, path))->Idempotent;
  };
  EXPECT_TRUE(idempotent("POST", "/search"));
  EXPECT_FALSE(idempotent("POST", "/search/book"));
  EXPECT_FALSE(idempotent("POST", "/other"));
  EXPECT_TRUE(idempotent("GET", "/other"));
}

} // namespace
