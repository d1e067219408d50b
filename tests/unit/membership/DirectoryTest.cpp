#include "cowslipridge/membership/Directory.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::membership;
using core::Incarnation;
using core::Millis;

namespace {

const core::ServiceId Drafting("drafting");
const core::InstanceId Name("sidecar-kochi-a-1");

backing::InstanceRecord record(std::uint64_t start, bool leaving = false) {
  backing::InstanceRecord it;
  it.Name = Name;
  it.Kind = backing::Role::Sidecar;
  it.Start = Incarnation(start);
  it.Address = "127.0.0.1";
  it.RpcPort = 9080;
  it.Service = Drafting;
  it.Leaving = leaving;
  return it;
}

class DirectoryTest : public testing::Test {
protected:
  [[nodiscard]] bool isUsable() const {
    return !Members.usable(Drafting).empty();
  }

  Directory Members{DirectorySettings{}};
};

TEST_F(DirectoryTest, connectsToNewMembersOnce) {
  const DirectoryActions first = Members.onList({record(1)}, Millis(0));
  ASSERT_EQ(first.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<ConnectMember>(first[0]));
  EXPECT_TRUE(Members.onList({record(1)}, Millis(10)).empty());
  EXPECT_TRUE(isUsable());
}

TEST_F(DirectoryTest, laggingListDoesNotRestoreALeavingMember) {
  Members.onList({record(1)}, Millis(0));
  Members.onReply(Name, Incarnation(1), true, Millis(5));
  Members.onList({record(1)}, Millis(10));
  EXPECT_FALSE(isUsable());
}

TEST_F(DirectoryTest, laggingListDoesNotRestoreARemovedMember) {
  Members.onList({record(1)}, Millis(0));
  Members.onReply(Name, Incarnation(1), true, Millis(5));
  Members.tick(Millis(60'000));
  EXPECT_TRUE(Members.all().empty());
  EXPECT_TRUE(Members.onList({record(1)}, Millis(60'010)).empty());
  EXPECT_FALSE(isUsable());
}

TEST_F(DirectoryTest, newerIncarnationReplacesALeavingOne) {
  Members.onList({record(1)}, Millis(0));
  Members.onReply(Name, Incarnation(1), true, Millis(5));
  const DirectoryActions actions = Members.onList({record(2)}, Millis(10));
  ASSERT_EQ(actions.size(), 2U);
  EXPECT_TRUE(std::holds_alternative<DropMember>(actions[0]));
  EXPECT_TRUE(std::holds_alternative<ConnectMember>(actions[1]));
  EXPECT_TRUE(isUsable());
}

TEST_F(DirectoryTest, ignoresAnOlderIncarnationInTheList) {
  Members.onList({record(2)}, Millis(0));
  EXPECT_TRUE(Members.onList({record(1, true)}, Millis(10)).empty());
  EXPECT_TRUE(isUsable());
  EXPECT_EQ(Members.find(Name)->Record.Start, Incarnation(2));
}

TEST_F(DirectoryTest, ignoresRepliesOfAnOlderIncarnation) {
  Members.onList({record(2)}, Millis(0));
  Members.onReply(Name, Incarnation(1), true, Millis(10));
  EXPECT_TRUE(isUsable());
}

TEST_F(DirectoryTest, consecutiveFailuresMarkSuspectAndAReplyClearsIt) {
  Members.onList({record(1)}, Millis(0));
  Members.onFailure(Name, Millis(1));
  EXPECT_EQ(Members.find(Name)->State, Liveness::Live);
  Members.onFailure(Name, Millis(2));
  EXPECT_EQ(Members.find(Name)->State, Liveness::SuspectedFailed);
  Members.onReply(Name, Incarnation(1), false, Millis(3));
  EXPECT_EQ(Members.find(Name)->State, Liveness::Live);
}

TEST_F(DirectoryTest, probesOnlyMembersWithoutRecentReplies) {
  Members.onList({record(1)}, Millis(0));
  EXPECT_TRUE(Members.tick(Millis(500)).empty());
  const DirectoryActions actions = Members.tick(Millis(1'000));
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<ProbeMember>(actions[0]));
  Members.onReply(Name, Incarnation(1), false, Millis(1'900));
  EXPECT_TRUE(Members.tick(Millis(2'500)).empty());
}

TEST_F(DirectoryTest, dropsMembersThatNeitherReplyNorAreListed) {
  Members.onList({record(1)}, Millis(0));
  const DirectoryActions actions = Members.tick(Millis(10'000));
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<DropMember>(actions[0]));
  EXPECT_FALSE(isUsable());
}

TEST_F(DirectoryTest, keepsReplyingMembersThatAreNotListed) {
  Members.onList({record(1)}, Millis(0));
  Members.onReply(Name, Incarnation(1), false, Millis(9'000));
  Members.onList({}, Millis(9'500));
  Members.tick(Millis(12'000));
  EXPECT_TRUE(isUsable());
}

} // namespace
