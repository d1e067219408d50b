#include "cowslipridge/config/Settings.hpp"
#include "support/SampleDeclarations.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::config;
using testing::Contains;
using testing::ElementsAre;
using testing::HasSubstr;

namespace {

std::vector<std::string> findingsIn(std::string_view text) {
  core::Findings findings;
  EXPECT_FALSE(parseSettings(text, "d.ini", findings));
  std::vector<std::string> lines;
  for (const core::Finding &it : findings.items())
    lines.push_back(core::toString(it));
  return lines;
}

std::string replaced(std::string_view text, const std::string &from,
                     const std::string &to) {
  std::string changed(text);
  const std::size_t at = changed.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return changed.replace(at, from.size(), to);
}

TEST(Settings, readsSidecar) {
  core::Findings findings;
  const auto settings = parseSettings(support::SidecarText, "d.ini", findings);
  ASSERT_TRUE(settings) << testing::PrintToString(findings.items().size());
  EXPECT_EQ(settings->Role, DaemonRole::Sidecar);
  EXPECT_EQ(settings->Instance.str(), "drafting-kochi-a-1");
  EXPECT_EQ(settings->Threads, 2U);
  EXPECT_TRUE(settings->JsonLog);
  EXPECT_EQ(settings->HttpPort, 8080);
  EXPECT_EQ(settings->MaxBodyBytes, 4U * 1024 * 1024);
  EXPECT_EQ(settings->WeightsAddress, "");
  ASSERT_TRUE(settings->Runner);
  EXPECT_EQ(settings->Runner->Versions.size(), 2U);
}

TEST(Settings, reportsEveryMissingKeyOfAnEmptyFile) {
  const auto lines = findingsIn("");
  for (const char *key :
       {"role", "instance", "failure_domain", "address", "http_port", "store",
        "instances", "fleet_key", "session_key", "admin_key_hash"})
    EXPECT_THAT(lines, Contains(HasSubstr("] " + std::string(key) + ": ")));
}

TEST(Settings, reportsBadValuesTogether) {
  auto text =
      replaced(support::SidecarText, "http_port = 8080", "http_port = 80800");
  text = replaced(text, "max_body = 4MiB", "max_body = 4MB");
  text = replaced(text, "address = 127.0.0.1", "address = localhost");
  text = replaced(text, "http://127.0.0.1:8500", "127.0.0.1:8500");
  EXPECT_THAT(findingsIn(text),
              ElementsAre(HasSubstr("d.ini:9: [listen] address: 'localhost'"),
                          HasSubstr("d.ini:10: [listen] http_port"),
                          HasSubstr("d.ini:12: [listen] max_body: '4MB' is "
                                    "not a size"),
                          HasSubstr("d.ini:15: [platform] store")));
}

TEST(Settings, findingsContainNoSecret) {
  const auto text =
      replaced(support::SidecarText, "fleet_key = 0001", "fleet_key = zz");
  const auto lines = findingsIn(text);
  ASSERT_EQ(lines.size(), 1U);
  EXPECT_THAT(lines[0], HasSubstr("fleet_key"));
  EXPECT_THAT(lines[0], testing::Not(HasSubstr("zz")));
}

TEST(Settings, entryMustNotHaveARunner) {
  EXPECT_THAT(findingsIn(replaced(support::SidecarText, "role = sidecar",
                                  "role = entry")),
              ElementsAre(HasSubstr("d.ini:24: [runner] an entry has no "
                                    "runner of its own")));
}

TEST(Settings, suggestsTheNearestKey) {
  EXPECT_THAT(
      findingsIn(replaced(support::SidecarText, "threads = 2", "thread = 2")),
      ElementsAre(HasSubstr("thread: unknown key; write threads")));
}

} // namespace
