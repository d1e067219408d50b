#include "cowslipridge/session/TokenSealer.hpp"

#include "cowslipridge/core/Error.hpp"

#include <gtest/gtest.h>
#include <stdexcept>

using namespace cowslipridge;
using namespace cowslipridge::session;

namespace {

const SessionInfo Info{core::SessionId("s-1"), core::OrganisationId("club"),
                       core::ServiceId("drafting"), core::VersionId("small@3"),
                       core::Millis(1'700'000'000'000)};

TEST(TokenSealer, opensATokenThatItSealed) {
  const TokenSealer sealer(std::string(32, 'k'));
  const auto opened = sealer.open(sealer.seal(Info));
  ASSERT_TRUE(opened.ok());
  EXPECT_EQ(*opened, Info);
}

TEST(TokenSealer, usesAFreshNonceForEachToken) {
  const TokenSealer sealer(std::string(32, 'k'));
  EXPECT_NE(sealer.seal(Info), sealer.seal(Info));
}

TEST(TokenSealer, rejectsATokenOfAnotherKey) {
  const TokenSealer sealer(std::string(32, 'k'));
  const TokenSealer other(std::string(32, 'x'));
  EXPECT_EQ(other.open(sealer.seal(Info)).error(), core::Errc::InvalidSession);
}

TEST(TokenSealer, rejectsEmptyAndOverlongTokens) {
  const TokenSealer sealer(std::string(32, 'k'));
  EXPECT_EQ(sealer.open("").error(), core::Errc::InvalidSession);
  EXPECT_EQ(sealer.open(std::string(100'000, 'A')).error(),
            core::Errc::InvalidSession);
}

TEST(TokenSealer, requiresAKeyOf32Bytes) {
  EXPECT_THROW(TokenSealer("short"), std::invalid_argument);
}

} // namespace
