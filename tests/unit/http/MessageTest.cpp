#include "cowslipridge/http/Message.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace cowslipridge::http;

namespace {

TEST(Message, findsHeadersCaseInsensitively) {
  const Headers headers = {{"X-Request-Id", "1"}, {"x-request-id", "2"}};
  EXPECT_EQ(findHeader(headers, "x-REQUEST-id"), "1");
  EXPECT_EQ(findHeader(headers, "X-Request"), std::nullopt);
}

TEST(Message, splitsTargetIntoPathAndQuery) {
  const Request request = {"GET", "/a/b?x=1?&y", {}, ""};
  EXPECT_EQ(request.path(), "/a/b");
  EXPECT_EQ(request.query(), "x=1?&y");
  EXPECT_EQ((Request{"GET", "/a", {}, ""}).query(), "");
}

TEST(Message, decodesQueryParameters) {
  EXPECT_EQ(findQueryParameter("a=1&b=x%20y+z", "b"), "x y z");
  EXPECT_EQ(findQueryParameter("recurse&index=5", "recurse"), "");
  EXPECT_EQ(findQueryParameter("a=1=2", "a"), "1=2");
  EXPECT_EQ(findQueryParameter("a=1", "b"), std::nullopt);
  EXPECT_EQ(findQueryParameter("", "a"), std::nullopt);
}

TEST(Message, keepsInvalidEscapesUnchanged) {
  EXPECT_EQ(findQueryParameter("a=100%", "a"), "100%");
  EXPECT_EQ(findQueryParameter("a=%zz", "a"), "%zz");
}

TEST(Message, makesProblemDetails) {
  const auto response =
      makeProblem({"overloaded", "Overloaded", 429, "later \xff"});
  EXPECT_EQ(response.Status, 429);
  EXPECT_EQ(findHeader(response.Fields, "content-type"),
            "application/problem+json");
  const auto body = nlohmann::json::parse(response.Body);
  EXPECT_EQ(body["type"], "urn:cowslipridge:problem:overloaded");
  EXPECT_EQ(body["status"], 429);
}

} // namespace
