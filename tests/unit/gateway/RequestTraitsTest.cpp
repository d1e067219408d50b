#include "cowslipridge/gateway/RequestTraits.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::gateway;

namespace {

class ContentDigestTest : public testing::Test {
protected:
  ContentDigestTest() {
    Head.Method = "POST";
    Head.Target = "/desk/42";
    Request.Organisation = &Organisation;
    Request.Caller.Host = "desk.example";
    Request.Caller.Id = core::RequestId("id-1");
  }
  [[nodiscard]] std::uint64_t digest(std::string_view body = "{}") const {
    return contentDigest(Request, Head, body);
  }

  catalogue::Organisation Organisation{
      core::OrganisationId("hill"), {"key-1", "key-2"}, std::nullopt};
  http1::RequestHead Head;
  RequestContext Request;
};

TEST_F(ContentDigestTest, isTheSameForARequestThatComesAgain) {
  const std::uint64_t first = digest();
  Request.Caller.Id = core::RequestId("id-2");
  Request.Caller.ApiKey = "key-2";
  Head.Fields.add("Session", "s");
  EXPECT_EQ(digest(), first);
}

TEST_F(ContentDigestTest, differsWithEachPart) {
  const std::uint64_t first = digest();
  EXPECT_NE(digest("{ }"), first);
  Head.Target = "/desk/43";
  EXPECT_NE(digest(), first);
  Head.Target = "/desk/42";
  Head.Method = "PUT";
  EXPECT_NE(digest(), first);
  Head.Method = "POST";
  Request.Caller.Host = "other.example";
  EXPECT_NE(digest(), first);
  Request.Caller.Host = "desk.example";
  Request.Organisation = nullptr;
  EXPECT_NE(digest(), first);
}

TEST_F(ContentDigestTest, partsDoNotRunIntoEachOther) {
  Head.Target = "/desk/4";
  const std::uint64_t first = digest("2");
  Head.Target = "/desk/42";
  EXPECT_NE(digest(""), first);
}

} // namespace
