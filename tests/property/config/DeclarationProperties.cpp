#include "cowslipridge/config/BundleCodec.hpp"
#include "cowslipridge/config/DeclarationParser.hpp"
#include "cowslipridge/config/Settings.hpp"
#include "cowslipridge/core/Error.hpp"
#include "support/PropertyChecks.hpp"
#include "support/SampleDeclarations.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace cowslipridge;
using namespace cowslipridge::config;

namespace {

constexpr int Cases = 10'000;

std::string anyBytes() {
  return *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
}

/// Generates a random sequence of fragments of INI files.
std::string anyIniText() {
  const auto pieces = *rc::gen::container<std::vector<std::string>>(
      rc::gen::element<std::string>("[", "]", "=", "\n", " ", ";", "#", ",",
                                    "[service]\n", "name", "[version a]\n",
                                    "deadline = 3s\n", "30s", "\r\n", "\xEF",
                                    "steps = 1", "[rollout]\n"));
  std::string text;
  for (const std::string &it : pieces)
    text += it;
  return text;
}

/// Returns a valid file with a few random changes, deletions or insertions.
std::string mutated(std::string_view good) {
  std::string text(good);
  const int edits = *rc::gen::inRange(1, 5);
  for (int n = 0; n < edits && !text.empty(); ++n) {
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    switch (*rc::gen::inRange(0, 3)) {
    case 0:
      text[at] = *rc::gen::arbitrary<char>();
      break;
    case 1:
      text.erase(at, *rc::gen::inRange<std::size_t>(1, 40));
      break;
    default:
      text.insert(at, anyIniText());
    }
  }
  return text;
}

/// Checks that parsing gives either a declaration that the codec preserves, or
/// findings that contain the file name and a message.
void checkOutcome(const std::string &text) {
  core::Findings findings;
  const auto service = parseDeclaration(text, "x.ini", findings);
  RC_ASSERT(service.has_value() == findings.empty());
  for (const core::Finding &it : findings.items()) {
    RC_ASSERT(it.File == "x.ini");
    RC_ASSERT(!it.Message.empty());
  }
  if (!service)
    return;
  const auto decoded = decodeService(encodeService(*service));
  RC_ASSERT(decoded.ok());
  RC_ASSERT(*decoded == *service);
}

TEST(DeclarationProperties, anyBytesGiveFindingsOrADeclaration) {
  support::expectHolds(Cases, [] { checkOutcome(anyBytes()); });
}

TEST(DeclarationProperties, anyIniTextGivesFindingsOrADeclaration) {
  support::expectHolds(Cases, [] { checkOutcome(anyIniText()); });
}

TEST(DeclarationProperties, mutatedFileGivesFindingsOrADeclaration) {
  support::expectHolds(Cases,
                       [] { checkOutcome(mutated(support::DraftingText)); });
}

TEST(DeclarationProperties, mutatedSettingsGiveFindingsOrSettings) {
  support::expectHolds(Cases, [] {
    core::Findings findings;
    const auto settings =
        parseSettings(mutated(support::SidecarText), "d.ini", findings);
    RC_ASSERT(settings.has_value() == findings.empty());
  });
}

TEST(BundleCodecProperties, mutatedBundleGivesAnErrorOrABundle) {
  Bundle bundle;
  core::Findings findings;
  bundle.Services.emplace(
      core::ServiceId("drafting"),
      *parseDeclaration(support::DraftingText, "x.ini", findings));
  const std::string good = encodeBundle(bundle);
  support::expectHolds(Cases, [&] {
    const auto decoded = decodeBundle(mutated(good));
    if (decoded.ok())
      RC_ASSERT(decodeBundle(encodeBundle(*decoded)).ok());
    else
      RC_ASSERT(decoded.error() == core::Errc::InvalidConfig);
  });
}

} // namespace
