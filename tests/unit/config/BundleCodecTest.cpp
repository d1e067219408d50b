#include "cowslipridge/config/BundleCodec.hpp"
#include "cowslipridge/config/ContentHash.hpp"
#include "cowslipridge/config/DeclarationParser.hpp"
#include "cowslipridge/core/Error.hpp"
#include "support/SampleDeclarations.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::config;

namespace {

ServiceDeclaration drafting() {
  core::Findings findings;
  return *parseDeclaration(support::DraftingText, "x.ini", findings);
}

TEST(BundleCodec, roundTrip) {
  Bundle bundle;
  bundle.Number = core::Generation(7);
  bundle.Services.emplace(core::ServiceId("drafting"), drafting());
  const auto decoded = decodeBundle(encodeBundle(bundle));
  ASSERT_TRUE(decoded.ok());
  EXPECT_EQ(*decoded, bundle);
}

TEST(BundleCodec, rejectsUnknownVersionState) {
  std::string text = encodeService(drafting());
  text.replace(text.find("\"trial\""), 7, "\"tryal\"");
  EXPECT_EQ(decodeService(text).error(), core::Errc::InvalidConfig);
}

TEST(BundleCodec, rejectsCountsOutOfRange) {
  std::string text = encodeService(drafting());
  const std::string from = "\"shards\":64";
  for (const char *to : {"\"shards\":-1", "\"shards\":5000000000",
                         "\"shards\":1.5", "\"shards\":0"}) {
    std::string changed = text;
    changed.replace(changed.find(from), from.size(), to);
    EXPECT_EQ(decodeService(changed).error(), core::Errc::InvalidConfig) << to;
  }
}

TEST(ContentHash, isSha256) {
  EXPECT_EQ(contentHash("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a"
                                "9cb410ff61f20015ad");
}

} // namespace
