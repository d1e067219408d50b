#include "unit/http1/ClientFixture.hpp"

#include "support/BrokenAnswers.hpp"

using namespace cowslipridge;
using namespace cowslipridge::http1;

namespace {

class BrokenAnswerTest
    : public ClientTest,
      public testing::WithParamInterface<support::BrokenAnswer> {
protected:
  BrokenAnswerTest() { Scripts = {{GetParam().Bytes, true}}; }
};

TEST_P(BrokenAnswerTest, failsTheCall) {
  const auto events = callAndWait();
  EXPECT_FALSE(events->Ended);
  EXPECT_TRUE(events->Failure);
}

// Guards against a call that counts as not sent: a status of 0 stands for no
// response, and its reason had not been set.
TEST_P(BrokenAnswerTest, isNoResponseToAFetchAndItsRequestMayHaveBeenSent) {
  const FetchResult result = fetchAndWait();
  EXPECT_EQ(result.Status, 0);
  EXPECT_FALSE(isUnsent(result.Failure));
}

INSTANTIATE_TEST_SUITE_P(Forms, BrokenAnswerTest,
                         testing::ValuesIn(support::brokenAnswers("Id: a\r\n")),
                         [](const auto &it) { return it.param.Name; });

} // namespace
