#include "cowslipridge/http1/ResponseFlaws.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge::http1;
using namespace cowslipridge::http1;

namespace {

/// Returns whether the response is an answer if the request has this field.
bool isAnswer(const HeaderField &asked, int status,
              const HeaderField &answered) {
  RequestHead request;
  request.Fields.add(asked.Name, asked.Value);
  ResponseHead response;
  response.Status = status;
  response.Fields.add(answered.Name, answered.Value);
  return findFlaw(request, response).empty();
}

TEST(ResponseFlawsTest, partsAreAnswersToRequestsForThem) {
  EXPECT_FALSE(isAnswer({"X", "y"}, 206, {"X", "y"}));
  EXPECT_TRUE(isAnswer({"Range", "bytes=0-1"}, 206, {"X", "y"}));
  EXPECT_TRUE(isAnswer({"X", "y"}, 200, {"X", "y"}));
}

TEST(ResponseFlawsTest, encodedBodiesAreAnswersToRequestsThatAcceptThem) {
  const HeaderField encoded{"Content-Encoding", "gzip"};
  EXPECT_FALSE(isAnswer({"X", "y"}, 200, encoded));
  EXPECT_FALSE(isAnswer({"Accept-Encoding", ""}, 200, encoded));
  EXPECT_FALSE(isAnswer({"Accept-Encoding", "identity, br"}, 200, encoded));
  EXPECT_TRUE(isAnswer({"Accept-Encoding", "br , GZIP;q=0.5"}, 200, encoded));
  EXPECT_TRUE(isAnswer({"Accept-Encoding", "*"}, 200, encoded));
  EXPECT_TRUE(isAnswer({"X", "y"}, 200, {"Content-Encoding", "identity"}));
}

TEST(ResponseFlawsTest, fieldsThatDescribeTheBodyHaveOneValue) {
  for (const char *name :
       {"Content-Type", "Content-Encoding", "Content-Range"}) {
    ResponseHead response;
    response.Fields.add(name, "identity");
    response.Fields.add(name, "identity");
    EXPECT_TRUE(findFlaw({}, response).empty()) << name;
    response.Fields.add(name, "another");
    EXPECT_FALSE(findFlaw({}, response).empty()) << name;
  }
}

} // namespace
