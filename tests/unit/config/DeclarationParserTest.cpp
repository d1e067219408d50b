#include "cowslipridge/config/DeclarationParser.hpp"
#include "support/SampleDeclarations.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::config;
using testing::ElementsAre;
using testing::HasSubstr;

namespace {

std::vector<std::string> linesOf(const core::Findings &findings) {
  std::vector<std::string> lines;
  for (const core::Finding &it : findings.items())
    lines.push_back(core::toString(it));
  return lines;
}

std::vector<std::string> findingsIn(std::string_view text) {
  core::Findings findings;
  EXPECT_FALSE(parseDeclaration(text, "x.ini", findings));
  return linesOf(findings);
}

std::string replaced(std::string_view text, const std::string &from,
                     const std::string &to) {
  std::string changed(text);
  const std::size_t at = changed.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return changed.replace(at, from.size(), to);
}

TEST(DeclarationParser, readsModelService) {
  core::Findings findings;
  const auto service =
      parseDeclaration(support::DraftingText, "drafting.ini", findings);
  ASSERT_TRUE(service) << testing::PrintToString(linesOf(findings));
  EXPECT_EQ(service->Name.str(), "drafting");
  EXPECT_EQ(service->Deadline, core::Millis(600'000));
  EXPECT_TRUE(service->Deferrable);
  ASSERT_EQ(service->Versions.size(), 2U);
  EXPECT_EQ(service->Versions[0].EngineModel, "small-7b");
  EXPECT_EQ(service->Versions[1].EngineModel, "small@2");
  EXPECT_EQ(service->Versions[1].State, VersionState::Trial);
  ASSERT_EQ(service->Organisations.size(), 1U);
  EXPECT_EQ(service->Organisations[0].KeyHashes.size(), 2U);
  EXPECT_EQ(service->Organisations[0].Weight, 3U);
  ASSERT_TRUE(service->Rollout);
  EXPECT_THAT(service->Rollout->Steps, ElementsAre(0.05, 0.25, 1.0));
}

TEST(DeclarationParser, readsPlainService) {
  core::Findings findings;
  const auto service =
      parseDeclaration(support::DeskText, "desk.ini", findings);
  ASSERT_TRUE(service) << testing::PrintToString(linesOf(findings));
  EXPECT_EQ(service->Kind, ServiceKind::Plain);
  EXPECT_TRUE(service->ChecksFencing);
  ASSERT_EQ(service->Calls.size(), 1U);
  EXPECT_FALSE(service->Calls[0].Idempotent);
}

TEST(DeclarationParser, reportsAllFindingsTogetherWithTheirLines) {
  const auto lines = findingsIn("[service]\n"
                                "name = desk\n"
                                "kind = plane\n"
                                "deadline = 30sec\n"
                                "shards = many\n"
                                "dedlin = 3s\n"
                                "deferrable = true\n"
                                "garbage\n"
                                "[versoin a]\n"
                                "[version a]\n"
                                "expected_quality = 1.5\n"
                                "[organisation o]\n"
                                "allowed = a, b\n");
  EXPECT_THAT(
      lines,
      testing::UnorderedElementsAre(
          HasSubstr("x.ini:3: [service] kind: unknown value 'plane'; write "
                    "model or plain"),
          HasSubstr("x.ini:4: [service] deadline: '30sec' is not a duration"),
          HasSubstr("x.ini:5: [service] shards: 'many' is not a whole number"),
          HasSubstr("x.ini:6: [service] dedlin: unknown key; write deadline"),
          HasSubstr("x.ini:7: [service] deferrable: unknown value 'true'"),
          HasSubstr("x.ini:8: [service] the line is neither"),
          HasSubstr("x.ini:9: [versoin a] unknown section"),
          HasSubstr("x.ini:11: [version a] expected_quality: the number is "
                    "out of range; write a value from 0 to 1"),
          HasSubstr("x.ini:12: [organisation o] key_hashes: the key is "
                    "missing"),
          HasSubstr("x.ini:13: [organisation o] allowed: no version 'b' is "
                    "declared")));
}

TEST(DeclarationParser, reportsDuplicates) {
  const auto lines = findingsIn(std::string(support::DeskText) +
                                "method = POST\n[service]\nname = x\n");
  EXPECT_THAT(lines, ElementsAre(HasSubstr("the key appears twice"),
                                 HasSubstr("the section appears twice")));
}

TEST(DeclarationParser, reportsEmptyFile) {
  EXPECT_THAT(findingsIn(""),
              testing::Contains(HasSubstr("[service] the section is missing")));
}

TEST(DeclarationParser, reportsTooLongLine) {
  const auto text = replaced(support::DeskText, "allowed = desk@5",
                             "allowed = " + std::string(300, 'a'));
  EXPECT_THAT(findingsIn(text),
              testing::Contains(HasSubstr("x.ini:10: [organisation "
                                          "thrissur-bowls] the line is longer "
                                          "than 197 bytes")));
}

TEST(DeclarationParser, rejectsBytesThatAreNotAscii) {
  const auto text =
      replaced(support::DraftingText, "small-7b", "sm\xC3\xA4ll-7b");
  EXPECT_THAT(findingsIn(text), ElementsAre(HasSubstr("not printable ASCII")));
}

TEST(DeclarationParser, allowsCommentsInAnyScript) {
  core::Findings findings;
  EXPECT_TRUE(parseDeclaration("# \xE0\xB4\x95\xE0\xB5\x8A\n" +
                                   std::string(support::DeskText),
                               "x.ini", findings));
}

TEST(DeclarationParser, rejectsInvalidRollouts) {
  EXPECT_THAT(
      findingsIn(replaced(support::DraftingText, "0.05, 0.25, 1", "0.5, 0.2")),
      ElementsAre(HasSubstr("x.ini:29: [rollout] steps: the steps do not "
                            "rise")));
  EXPECT_THAT(
      findingsIn(
          replaced(support::DraftingText, "state = trial", "state = active")),
      ElementsAre(HasSubstr("x.ini:27: [rollout] trial: 'small@2' is already "
                            "active")));
  EXPECT_THAT(findingsIn(replaced(support::DraftingText, "trial = small@2",
                                  "trial = small@1")),
              testing::Contains(HasSubstr("cannot replace itself")));
}

TEST(DeclarationParser, allowsRolloutOfAWithdrawnTrialVersion) {
  core::Findings findings;
  EXPECT_TRUE(parseDeclaration(
      replaced(support::DraftingText, "state = trial", "state = withdrawn"),
      "x.ini", findings));
}

TEST(DeclarationParser, reportsKeySharedByTwoOrganisations) {
  core::Findings findings;
  const auto desk = parseDeclaration(support::DeskText, "desk.ini", findings);
  const auto other = parseDeclaration(replaced(support::DeskText,
                                               "[organisation "
                                               "thrissur-bowls]",
                                               "[organisation kannur-bowls]"),
                                      "other.ini", findings);
  ASSERT_TRUE(desk && other);
  checkConsistency({{"desk.ini", *desk}, {"other.ini", *other}}, findings);
  EXPECT_THAT(linesOf(findings),
              ElementsAre(HasSubstr("other.ini: [service] name: the service "
                                    "'desk' is also declared in desk.ini"),
                          HasSubstr("also belongs to the organisation "
                                    "'thrissur-bowls'")));
}

} // namespace
