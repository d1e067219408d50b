#include "cowslipridge/observe/EventCatalogue.hpp"
#include "cowslipridge/observe/Metrics.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <string>

using namespace cowslipridge::observe;

namespace {

std::string readFile(const std::string &name) {
  std::ifstream file(std::string(COWSLIPRIDGE_DOCS) + "/" + name);
  EXPECT_TRUE(file) << name;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string levelName(Severity level) {
  switch (level) {
  case Severity::Info:
    return "info";
  case Severity::Warning:
    return "warning";
  case Severity::Error:
    break;
  }
  return "error";
}

/// Returns the row of the table in docs/log-catalogue.md for an entry.
std::string expectedRow(const CatalogueEntry &entry) {
  return "| " + std::to_string(static_cast<int>(entry.Number)) + " | `" +
         std::string(entry.Name) + "` | " + levelName(entry.Level) + " | " +
         std::string(entry.Meaning) + " |";
}

TEST(EventCatalogue, numbersAscendAndNamesAreUnique) {
  int last = 0;
  std::set<std::string_view> names;
  for (const CatalogueEntry &it : eventCatalogue()) {
    EXPECT_GT(static_cast<int>(it.Number), last);
    last = static_cast<int>(it.Number);
    EXPECT_TRUE(names.insert(it.Name).second) << it.Name;
  }
}

TEST(EventCatalogue, docsListTheSameEvents) {
  const std::string page = readFile("log-catalogue.md");
  std::set<std::string> rows;
  std::istringstream lines(page);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with("| ") && line.find_first_of("0123456789") == 2)
      rows.insert(line);
  }
  std::set<std::string> expected;
  for (const CatalogueEntry &it : eventCatalogue())
    expected.insert(expectedRow(it));
  EXPECT_EQ(rows, expected);
}

TEST(MetricCatalogue, docsListTheSameMetrics) {
  const std::string page = readFile("operators/metrics.md");
  for (const MetricEntry &it : metricCatalogue()) {
    const std::string row =
        "| `" + std::string(it.Name) + "` | " + std::string(it.Help) + " |";
    EXPECT_NE(page.find(row), std::string::npos) << row;
  }
}

} // namespace
