#include "cowslipridge/membership/Evacuations.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::membership;
using core::Millis;

namespace {

const core::FailureDomainId North("north");
const core::FailureDomainId South("south");
using Domains = std::vector<core::FailureDomainId>;

TEST(EvacuationsTest, aCommandHoldsUntilItIsWithdrawn) {
  Evacuations evacuations;
  evacuations.onCommand(North);
  EXPECT_TRUE(evacuations.isEvacuated(North, Millis(0)));
  EXPECT_FALSE(evacuations.isEvacuated(South, Millis(0)));
  EXPECT_EQ(evacuations.update(Millis(0)), Domains{});
  evacuations.onWithdrawn(North, Millis(5'000));
  EXPECT_FALSE(evacuations.isEvacuated(North, Millis(5'000)));
  EXPECT_EQ(evacuations.update(Millis(5'000)), Domains{North});
  EXPECT_EQ(evacuations.update(Millis(5'050)), Domains{});
}

TEST(EvacuationsTest, aListingIsCompleteUnlessTheStoreWasRestored) {
  Evacuations evacuations;
  evacuations.onCommand(North);
  evacuations.update(Millis(0));
  evacuations.onListed({South}, false, Millis(100));
  EXPECT_FALSE(evacuations.isEvacuated(North, Millis(100)));
  EXPECT_TRUE(evacuations.isEvacuated(South, Millis(100)));
  EXPECT_EQ(evacuations.update(Millis(100)), Domains{North});
}

// Guards against requests to an evacuated domain because an older copy of the
// store lacks the command.
TEST(EvacuationsTest, aCommandThatARestoredStoreLacksStaysInForceForAWhile) {
  Evacuations evacuations;
  evacuations.onCommand(North);
  evacuations.onListed({}, true, Millis(1'000));
  EXPECT_EQ(evacuations.update(Millis(10'900)), Domains{});
  EXPECT_TRUE(evacuations.isEvacuated(North, Millis(10'900)));
  EXPECT_EQ(evacuations.update(Millis(11'000)), Domains{North});

  evacuations.onCommand(North);
  evacuations.onListed({}, true, Millis(20'000));
  evacuations.onCommand(North); // the operator writes it again
  evacuations.update(Millis(60'000));
  EXPECT_TRUE(evacuations.isEvacuated(North, Millis(60'000)));
}

// Guards against a domain that is taken out of service by a command that was
// withdrawn after the store's copy was made.
TEST(EvacuationsTest, aWithdrawnCommandOfARestoredStoreAppliesLater) {
  Evacuations evacuations;
  evacuations.onCommand(North);
  evacuations.onWithdrawn(North, Millis(500));
  evacuations.onListed({North}, true, Millis(1'000));
  evacuations.update(Millis(5'900));
  EXPECT_FALSE(evacuations.isEvacuated(North, Millis(5'900)));
  evacuations.update(Millis(6'000));
  EXPECT_TRUE(evacuations.isEvacuated(North, Millis(6'000)));

  evacuations.onWithdrawn(North, Millis(7'000));
  evacuations.onListed({North}, true, Millis(8'000));
  evacuations.onWithdrawn(North, Millis(9'000)); // the operator repeats it
  evacuations.update(Millis(60'000));
  EXPECT_FALSE(evacuations.isEvacuated(North, Millis(60'000)));
}

// Guards against a second listing, for lack of history, that cuts short what
// the restore before it demands.
TEST(EvacuationsTest, anotherListingAfterARestoreShortensNoPeriod) {
  Evacuations evacuations;
  evacuations.onCommand(North);
  evacuations.onCommand(South);
  evacuations.onWithdrawn(South, Millis(500));
  evacuations.onListed({South}, true, Millis(1'000));
  evacuations.onListed({South}, false, Millis(2'000));
  evacuations.update(Millis(5'900));
  EXPECT_TRUE(evacuations.isEvacuated(North, Millis(5'900)));
  EXPECT_FALSE(evacuations.isEvacuated(South, Millis(5'900)));
  evacuations.update(Millis(6'000));
  EXPECT_TRUE(evacuations.isEvacuated(South, Millis(6'000)));
  EXPECT_EQ(evacuations.update(Millis(11'000)), Domains{North});
}

// Guards against a command that times out while the store that was restored is
// out of reach, so that nobody could write it again.
TEST(EvacuationsTest, anOutageAfterARestoreEndsNoCommand) {
  Evacuations evacuations;
  evacuations.onCommand(North);
  evacuations.onListed({}, true, Millis(1'000));
  evacuations.onStoreUnavailable();
  evacuations.update(Millis(10'900));
  EXPECT_EQ(evacuations.update(Millis(30'000)), Domains{});
  EXPECT_TRUE(evacuations.isEvacuated(North, Millis(30'000)));
  evacuations.onStoreAvailable();
  evacuations.onListed({}, false, Millis(30'000));
  EXPECT_EQ(evacuations.update(Millis(39'900)), Domains{});
  EXPECT_EQ(evacuations.update(Millis(40'000)), Domains{North});
}

// Guards against a domain that is evacuated by a command that the store has
// neither before nor after a second restore.
TEST(EvacuationsTest, anOldCommandThatIsMissingAgainNeverApplies) {
  Evacuations evacuations;
  evacuations.onCommand(North);
  evacuations.onWithdrawn(North, Millis(500));
  evacuations.onListed({North}, true, Millis(1'000));
  evacuations.onListed({}, true, Millis(2'000));
  evacuations.update(Millis(6'500));
  EXPECT_FALSE(evacuations.isEvacuated(North, Millis(6'500)));
}

// Guards against a gateway that the store turns away and that goes on sending
// requests to a domain that the others have left.
TEST(EvacuationsTest, reportsOfPeersCountWhileTheStoreIsUnavailable) {
  Evacuations evacuations;
  evacuations.onPeerReport({North}, Millis(0));
  EXPECT_FALSE(evacuations.isEvacuated(North, Millis(10)));
  evacuations.onStoreUnavailable();
  EXPECT_TRUE(evacuations.isEvacuated(North, Millis(10)));
  EXPECT_TRUE(evacuations.commanded().empty());
  evacuations.update(Millis(10));
  // The peers no longer report it.
  EXPECT_EQ(evacuations.update(Millis(2'100)), Domains{North});
  evacuations.onPeerReport({North}, Millis(2'200));
  evacuations.onStoreAvailable();
  EXPECT_FALSE(evacuations.isEvacuated(North, Millis(2'200)));
}

TEST(EvacuationsTest, twoDomainsInTurnAndAtOnce) {
  Evacuations evacuations;
  evacuations.onCommand(North);
  evacuations.onCommand(South);
  evacuations.onWithdrawn(North, Millis(100));
  evacuations.onCommand(North);
  evacuations.update(Millis(200));
  EXPECT_EQ(evacuations.commanded(),
            (std::set<core::FailureDomainId>{North, South}));
}

} // namespace
