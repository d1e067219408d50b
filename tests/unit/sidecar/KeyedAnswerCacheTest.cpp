#include "cowslipridge/sidecar/KeyedAnswerCache.hpp"
#include "cowslipridge/core/Error.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::sidecar;
using core::Millis;

namespace {

const core::RequestId Request("k-1");

class RecordingSink final : public rpc::AnswerSink {
public:
  void head(int status, http::Headers /*fields*/) override { Status = status; }
  bool frame(std::string data) override {
    Body += data;
    return true;
  }
  void end(rpc::RunResult result) override { Result = std::move(result); }

  int Status = 0;
  std::string Body;
  std::optional<rpc::RunResult> Result;
};

rpc::RunResult ran() {
  rpc::RunResult result;
  result.Result = core::Outcome::Ran;
  return result;
}

TEST(SharedAnswer, sendsTheCompleteAnswerToALateFollower) {
  SharedAnswer answer;
  const auto first = std::make_shared<RecordingSink>();
  answer.follow(first);
  answer.head(200, {});
  answer.frame("one ");
  const auto second = std::make_shared<RecordingSink>();
  answer.follow(second);
  answer.frame("two");
  answer.end(ran());
  for (const auto &it : {first, second}) {
    EXPECT_EQ(it->Status, 200);
    EXPECT_EQ(it->Body, "one two");
    EXPECT_TRUE(it->Result);
  }
}

TEST(SharedAnswer, marksAnAnswerSentAfterItsEndAsReplayed) {
  SharedAnswer answer;
  answer.frame("done");
  answer.end(ran());
  const auto late = std::make_shared<RecordingSink>();
  answer.follow(late);
  EXPECT_EQ(late->Body, "done");
  EXPECT_TRUE(late->Result->Replayed);
}

TEST(SharedAnswer, aFailedOrHugeAnswerCannotBeJoined) {
  SharedAnswer failed;
  rpc::RunResult result;
  result.Error = core::Errc::RunnerFailed;
  failed.end(result);
  EXPECT_FALSE(failed.isJoinable());
  SharedAnswer huge;
  huge.frame(std::string(SharedAnswer::MaxRecordedBytes + 1, 'x'));
  EXPECT_FALSE(huge.isJoinable());
}

TEST(KeyedAnswerCache, keepsFinishedAnswersUntilTheyExpire) {
  KeyedAnswerCache answers;
  answers.begin(Request, 1, Millis(100))->end(ran());
  answers.expire(Millis(100));
  EXPECT_NE(answers.find(Request), nullptr);
  answers.expire(Millis(101));
  EXPECT_EQ(answers.find(Request), nullptr);
}

TEST(KeyedAnswerCache, neverEvictsARequestInProgress) {
  KeyedAnswerCache answers;
  answers.begin(Request, 1, Millis(0));
  for (std::size_t n = 0; n < KeyedAnswerCache::MaxAnswers; ++n)
    answers.begin(core::RequestId("o" + std::to_string(n)), 1, Millis(1))
        ->end(ran());
  answers.expire(Millis(1'000));
  EXPECT_NE(answers.find(Request), nullptr);
}

} // namespace
