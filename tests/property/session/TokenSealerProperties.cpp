#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/session/Base64Url.hpp"
#include "cowslipridge/session/TokenSealer.hpp"
#include "support/PropertyChecks.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace cowslipridge;
using namespace cowslipridge::session;

namespace {

constexpr int Cases = 10'000;

std::string anyText() {
  return *rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~'));
}

SessionInfo anyInfo() {
  return {core::SessionId(anyText()), core::OrganisationId(anyText()),
          core::ServiceId(anyText()), core::VersionId(anyText()),
          core::Millis(*rc::gen::arbitrary<std::int64_t>())};
}

std::string anyKey() {
  return *rc::gen::container<std::string>(32, rc::gen::arbitrary<char>());
}

TEST(TokenSealerProperties, opensSealedTokens) {
  support::expectHolds(Cases, [] {
    const TokenSealer sealer(anyKey());
    const SessionInfo info = anyInfo();
    const auto opened = sealer.open(sealer.seal(info));
    RC_ASSERT(opened.ok());
    RC_ASSERT(*opened == info);
  });
}

TEST(TokenSealerProperties, rejectsAnyFlippedBit) {
  support::expectHolds(Cases, [] {
    const TokenSealer sealer(anyKey());
    std::string bytes = *decodeBase64Url(sealer.seal(anyInfo()));
    const auto bit = *rc::gen::inRange<std::size_t>(0, bytes.size() * 8);
    bytes[bit / 8] = static_cast<char>(bytes[bit / 8] ^ (1 << bit % 8));
    const auto opened = sealer.open(encodeBase64Url(bytes));
    RC_ASSERT(opened.error() == core::Errc::InvalidSession);
  });
}

TEST(TokenSealerProperties, rejectsAnyChangedCharacter) {
  support::expectHolds(Cases, [] {
    const TokenSealer sealer(anyKey());
    std::string token = sealer.seal(anyInfo());
    const auto at = *rc::gen::inRange<std::size_t>(0, token.size());
    const char changed = *rc::gen::arbitrary<char>();
    RC_PRE(changed != token[at]);
    token[at] = changed;
    RC_ASSERT(sealer.open(token).error() == core::Errc::InvalidSession);
  });
}

TEST(TokenSealerProperties, rejectsArbitraryText) {
  support::expectHolds(Cases, [] {
    const TokenSealer sealer(anyKey());
    const auto garbage = *rc::gen::arbitrary<std::string>();
    RC_ASSERT(sealer.open(garbage).error() == core::Errc::InvalidSession);
  });
}

TEST(TokenSealerProperties, rejectsTokensOfAnotherKey) {
  support::expectHolds(Cases, [] {
    const std::string key = anyKey();
    const std::string other = anyKey();
    RC_PRE(key != other);
    const std::string token = TokenSealer(key).seal(anyInfo());
    const auto opened = TokenSealer(other).open(token);
    RC_ASSERT(opened.error() == core::Errc::InvalidSession);
  });
}

TEST(TokenSealerProperties, base64UrlRoundTrips) {
  support::expectHolds(Cases, [] {
    const auto bytes = *rc::gen::arbitrary<std::string>();
    RC_ASSERT(decodeBase64Url(encodeBase64Url(bytes)) == bytes);
  });
}

} // namespace
