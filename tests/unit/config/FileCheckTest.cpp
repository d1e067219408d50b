#include "cowslipridge/config/FileCheck.hpp"
#include "support/SampleDeclarations.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::config;
using testing::ElementsAre;
using testing::HasSubstr;

namespace {

std::vector<std::string> findingsIn(const std::vector<SourceFile> &files) {
  core::Findings findings;
  checkFiles(files, findings);
  std::vector<std::string> lines;
  for (const core::Finding &it : findings.items())
    lines.push_back(core::toString(it));
  return lines;
}

const SourceFile Drafting{"drafting.ini", std::string(support::DraftingText)};
const SourceFile Sidecar{"a.ini", std::string(support::SidecarText)};

TEST(FileCheck, separatesDeclarationsFromSettings) {
  core::Findings findings;
  const CheckedFiles checked = checkFiles({Drafting, Sidecar}, findings);
  EXPECT_TRUE(findings.empty());
  EXPECT_EQ(checked.Declarations.size(), 1U);
  EXPECT_EQ(checked.Settings.size(), 1U);
}

TEST(FileCheck, reportsInstanceNameAndPortsUsedTwice) {
  EXPECT_THAT(
      findingsIn({Sidecar, {"b.ini", Sidecar.Text}}),
      ElementsAre(HasSubstr("b.ini:3: [process] instance: "
                            "'drafting-kochi-a-1' is also used in a.ini"),
                  HasSubstr("b.ini:10: [listen] http_port"),
                  HasSubstr("b.ini:11: [listen] rpc_port")));
}

TEST(FileCheck, reportsRunnerOfAnUndeclaredVersion) {
  SourceFile sidecar = Sidecar;
  const std::string from = "versions = small@1, small@2";
  sidecar.Text.replace(sidecar.Text.find(from), from.size(),
                       "versions = small@9");
  EXPECT_THAT(findingsIn({Drafting, sidecar}),
              ElementsAre(HasSubstr("a.ini:27: [runner] versions: 'small@9' is "
                                    "not declared in drafting.ini")));
}

TEST(FileCheck, reportsRunnerOfAnUndeclaredService) {
  const SourceFile desk{"desk.ini", std::string(support::DeskText)};
  EXPECT_THAT(findingsIn({desk, Sidecar}),
              ElementsAre(HasSubstr("a.ini:26: [runner] service: no file "
                                    "declares the service 'drafting'")));
}

} // namespace
