#pragma once

#include <cstdint>
#include <cstdlib>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <sstream>
#include <string>

/// Runs RapidCheck properties with a fixed seed and a given number of generated
/// test cases.
namespace cowslipridge::support {

constexpr std::uint64_t DefaultSeed = 20'261'203;

/// Returns `cases`, or the value of the environment variable
/// `COWSLIPRIDGE_HISTORIES` if it is set.
inline int testCaseCount(int cases) {
  const char *text = std::getenv("COWSLIPRIDGE_HISTORIES");
  return text == nullptr ? cases : std::atoi(text);
}

/// Checks `property` with at most testCaseCount(cases) generated test cases.
inline rc::detail::TestResult runProperty(int cases,
                                          const rc::detail::Property &property,
                                          std::uint64_t seed, bool shrinks) {
  rc::detail::TestParams params;
  params.seed = seed;
  params.maxSuccess = testCaseCount(cases);
  params.disableShrinking = !shrinks;
  return rc::detail::checkProperty(property, rc::detail::TestMetadata{},
                                   params);
}

/// Fails the current test with the counterexample if `property` does not hold.
template <typename Callable>
void expectHolds(int cases, Callable property,
                 std::uint64_t seed = DefaultSeed) {
  const rc::detail::TestResult result =
      runProperty(cases, rc::detail::toProperty(property), seed, true);
  if (result.is<rc::detail::SuccessResult>())
    return;
  std::ostringstream out;
  rc::detail::printResultMessage(result, out);
  FAIL() << "seed " << seed << "\n" << out.str();
}

/// Fails the current test unless a counterexample to `property` is found.
template <typename Callable>
void expectViolated(int cases, Callable property,
                    std::uint64_t seed = DefaultSeed) {
  const rc::detail::TestResult result =
      runProperty(cases, rc::detail::toProperty(property), seed, false);
  ASSERT_TRUE(result.is<rc::detail::FailureResult>())
      << "no violation found in " << testCaseCount(cases) << " test cases";
  const auto &failure = result.get<rc::detail::FailureResult>();
  std::cout << "violation found after " << failure.numSuccess
            << " test cases that passed\n";
}

} // namespace cowslipridge::support
