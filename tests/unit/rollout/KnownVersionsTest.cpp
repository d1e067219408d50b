#include "cowslipridge/rollout/KnownVersions.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::rollout;
using core::Millis;
using core::VersionId;

namespace {

const VersionId First("v1");
const VersionId Second("v2");

TEST(KnownVersionsTest, versionRegisteredForAWhileWithoutRolloutServes) {
  KnownVersions versions;
  versions.onRegistered({First, Second}, Millis(0));
  versions.onRegistered({First, Second}, Millis(9'999));
  EXPECT_FALSE(versions.serves(Second));
  versions.onRegistered({First, Second}, Millis(10'000));
  EXPECT_TRUE(versions.serves(First));
  EXPECT_TRUE(versions.serves(Second));
}

// Guards against a version on trial that counts as serving because it has been
// registered for long.
TEST(KnownVersionsTest, versionDoesNotSettleWhileARolloutIsInProgress) {
  KnownVersions versions;
  versions.onRegistered({First, Second}, Millis(0));
  versions.onRolloutInProgress();
  versions.onRegistered({First, Second}, Millis(10'000));
  EXPECT_FALSE(versions.serves(Second));
}

TEST(KnownVersionsTest, abandonedAndRevertedVersionsNeverSettle) {
  KnownVersions versions;
  versions.onAbandoned(First);
  versions.onReverted(Second);
  versions.onRegistered({First, Second}, Millis(0));
  versions.onRegistered({First, Second}, Millis(20'000));
  EXPECT_TRUE(versions.serving().empty());
  versions.onCommanded(First);
  versions.onServing(First);
  EXPECT_TRUE(versions.serves(First));
}

TEST(KnownVersionsTest, versionThatServesIsNotAbandoned) {
  KnownVersions versions;
  versions.onServing(First);
  versions.onAbandoned(First);
  EXPECT_FALSE(versions.isAbandoned(First));
}

TEST(KnownVersionsTest,
     servingVersionsAreLimitedToRegisteredOnesIfThereAreAny) {
  KnownVersions versions;
  versions.onServing(First);
  versions.onServing(Second);
  EXPECT_EQ(versions.serving({Second}), std::set{Second});
  EXPECT_EQ(versions.serving({VersionId("v3")}), (std::set{First, Second}));
}

} // namespace
