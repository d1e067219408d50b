#include "cowslipridge/ledger/JournalAppender.hpp"

#include "cowslipridge/core/Error.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::ledger;
using backing::SwapStatus;

namespace {

const core::ServiceId Service("booking");
const Claim Wanted{{core::OrganisationId("club"), Service, "key"},
                   core::RequestId("k-1"),
                   core::Millis(5)};

class JournalAppenderTest : public testing::Test {
protected:
  JournalAppenderTest() : Appender(settings()) {
    answerSwap(SwapStatus::Swapped);
    answerRead(LastSwap.Value, 1);
  }

  static AppenderSettings settings() {
    AppenderSettings settings;
    settings.Service = Service;
    settings.Journal = {core::InstanceId("a"), core::Incarnation(1), 0};
    settings.Writer = "w";
    settings.RollBytes = 200;
    return settings;
  }

  AppenderResult answerSwap(SwapStatus status) {
    Now = Now + core::Millis(2'000);
    const auto command = Appender.next(Now);
    LastSwap = std::get<SwapKey>(command.value());
    return Appender.onReply(status, Now);
  }
  AppenderResult answerRead(const std::string &value,
                            backing::Revision revision) {
    Now = Now + core::Millis(2'000);
    EXPECT_TRUE(std::holds_alternative<ReadKey>(Appender.next(Now).value()));
    return Appender.onReply(ReadReply(std::optional(backing::StoreEntry{
                                LastSwap.Key, value, revision})),
                            Now);
  }

  core::Millis Now;
  SwapKey LastSwap;
  JournalAppender Appender;
};

TEST_F(JournalAppenderTest, readsBackAfterLostReply) {
  Appender.append({Wanted, 7}, Now);
  EXPECT_TRUE(answerSwap(SwapStatus::LostReply).Committed.empty());
  const AppenderResult result = answerRead(LastSwap.Value, 2);
  ASSERT_EQ(result.Committed.size(), 1U);
  EXPECT_EQ(result.Committed[0].Waiter, 7U);
}

TEST_F(JournalAppenderTest, retriesAppendUnchangedIfItTookNoEffect) {
  const std::string before = LastSwap.Value;
  Appender.append({Wanted, 7}, Now);
  answerSwap(SwapStatus::LostReply);
  const std::string sent = LastSwap.Value;
  answerRead(before, 1);
  Appender.append({Wanted, 8}, Now);
  const AppenderResult result = answerSwap(SwapStatus::Swapped);
  EXPECT_EQ(LastSwap.Value, sent);
  EXPECT_EQ(result.Committed.size(), 1U);
}

TEST_F(JournalAppenderTest, stopsAppendingWhenReadFindsSeal) {
  JournalHead sealed = *decodeHead(LastSwap.Value);
  sealed.SealedBy = "b/1";
  Appender.append({Wanted, 7}, Now);
  answerSwap(SwapStatus::Mismatch);
  const AppenderResult result = answerRead(encodeHead(sealed), 2);
  EXPECT_TRUE(result.Sealed);
  EXPECT_TRUE(result.Committed.empty());
  EXPECT_FALSE(Appender.next(Now + core::Millis(10'000)));
  EXPECT_EQ(Appender.takeUncommitted().size(), 1U);
}

TEST_F(JournalAppenderTest, writesFullHeadAsSegment) {
  for (int i = 0; i < 3; ++i)
    Appender.append({Wanted, 7}, Now);
  answerSwap(SwapStatus::Swapped);
  answerRead(LastSwap.Value, 2);
  answerSwap(SwapStatus::Swapped);
  EXPECT_EQ(LastSwap.Key, "cowslipridge/journal/booking/a/1/0");
  EXPECT_EQ(decodeSegment(LastSwap.Value)->size(), 3U);
  Appender.append({Wanted, 8}, Now);
  answerSwap(SwapStatus::Swapped);
  const JournalHead head = *decodeHead(LastSwap.Value);
  EXPECT_EQ(head.Segments, 1U);
  EXPECT_EQ(head.Records.size(), 1U);
}

TEST_F(JournalAppenderTest, treatsDamagedHeadAsSealed) {
  Appender.append({Wanted, 7}, Now);
  answerSwap(SwapStatus::Swapped);
  EXPECT_TRUE(answerRead("garbage", 2).Sealed);
}

} // namespace
