#include "cowslipridge/observe/LogBudget.hpp"
#include "cowslipridge/observe/LogPipe.hpp"

#include <gtest/gtest.h>

#include <array>
#include <string>

#include <unistd.h>

using namespace cowslipridge;
using namespace cowslipridge::observe;
using core::Millis;

namespace {

constexpr LogLimits Limits{100, 10'000, 2, 0.4};

TEST(LogBudgetTest, limitsLinesOfErrors) {
  LogBudget budget(Limits);
  int lines = 0;
  constexpr int Seconds = 20;
  for (int n = 0; n < Seconds * 1'000; ++n)
    lines += budget.admit(Severity::Error, 10, Millis(n)) ? 1 : 0;
  EXPECT_LE(lines, (Seconds + Limits.BurstSeconds) * Limits.LinesPerSecond);
  EXPECT_EQ(budget.takeSuppressed(), Seconds * 1'000 - lines);
  EXPECT_EQ(budget.takeSuppressed(), 0U);
}

TEST(LogBudgetTest, limitsBytes) {
  LogBudget budget(Limits);
  std::size_t bytes = 0;
  for (int n = 0; n < 10'000; ++n)
    bytes += budget.admit(Severity::Error, 1'000, Millis(n)) ? 1'000 : 0;
  EXPECT_LE(bytes, 12 * Limits.BytesPerSecond);
}

TEST(LogBudgetTest, admitsWarningsAfterInfoLinesUsedTheirBudget) {
  LogBudget budget(Limits);
  while (budget.admit(Severity::Info, 10, Millis(0))) {
  }
  EXPECT_TRUE(budget.admit(Severity::Warning, 10, Millis(0)));
}

TEST(LogPipeTest, writerNeverBlocksOnAStalledReader) {
  std::array<int, 2> ends{};
  ASSERT_EQ(pipe(ends.data()), 0);
  LogPipe log(ends[1]);
  const std::string line(200, 'x');
  int written = 0;
  while (written < 100'000 && log.write(line))
    ++written;
  EXPECT_LT(written, 100'000);
  EXPECT_FALSE(log.write(line));

  // Once the reader reads again, only complete lines arrive.
  std::string text;
  std::array<char, 4096> buf{};
  for (int n = 0; n < written; ++n) {
    const ssize_t size = read(ends[0], buf.data(), line.size() + 1);
    ASSERT_GT(size, 0);
    text.append(buf.data(), static_cast<std::size_t>(size));
  }
  EXPECT_TRUE(log.write("last"));
  close(ends[1]);
  for (ssize_t size = 1; size > 0;) {
    size = read(ends[0], buf.data(), buf.size());
    text.append(buf.data(),
                static_cast<std::size_t>(std::max<ssize_t>(0, size)));
  }
  close(ends[0]);
  EXPECT_TRUE(text.ends_with("\nlast\n"));
  std::size_t start = 0;
  for (std::size_t end = text.find('\n'); end != std::string::npos;
       end = text.find('\n', start)) {
    const std::string one = text.substr(start, end - start);
    EXPECT_TRUE(one == line || one == "last");
    start = end + 1;
  }
}

} // namespace
