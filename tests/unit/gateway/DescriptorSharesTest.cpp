#include "cowslipridge/gateway/DescriptorShares.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge::gateway;

namespace {

// Guards against callers that take all descriptors, so that no runner can be
// called.
TEST(DescriptorSharesTest, eachRequestHasAConnectionToItsRunner) {
  for (const std::size_t all : {128U, 256U, 1'024U, 4'100U, 1'000'000U}) {
    const DescriptorShares shares = shareDescriptors(all);
    EXPECT_GT(shares.Callers, 0U);
    EXPECT_GE(shares.Runners, shares.Callers);
    EXPECT_LE(shares.Callers + shares.Runners + 64, all);
  }
}

TEST(DescriptorSharesTest, fewDescriptorsStillServeSomeCallers) {
  EXPECT_GT(shareDescriptors(64).Callers, 0U);
  EXPECT_GT(shareDescriptors(64).Runners, 0U);
}

} // namespace
