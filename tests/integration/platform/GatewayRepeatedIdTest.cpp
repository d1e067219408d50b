#include "integration/platform/GatewayFixture.hpp"

#include <set>

using namespace cowslipridge;
using namespace cowslipridge::integration;

namespace {

/// Callers that send the id of a request again.
class GatewayRepeatedIdTest : public GatewayTest {
protected:
  static constexpr double Ratio = 0.9;
  static constexpr int FixedRetries = 10; // by default, for a window of 10 s

  void startWith(const std::vector<const char *> &runners) {
    RetryRatio = "0.9";
    for (const char *id : runners)
      addPlainRunner(id);
    configure();
    startAndAwaitReady();
  }

  /// Returns the runs beyond the first of each request.
  [[nodiscard]] int repeats() const {
    int runs = 0;
    std::set<std::string> ids;
    for (const auto &runner : Runners) {
      for (const auto &[id, count] : runner->runs()) {
        runs += count;
        ids.insert(id);
      }
    }
    return runs - static_cast<int>(ids.size());
  }
};

// Guards against repeats that no budget counts: each arrival of an id that was
// sent again counted as a new request, and granted further retries.
TEST_F(GatewayRepeatedIdTest, repeatedIdDrawsOnTheRetryBudget) {
  constexpr int Sent = 60;
  startWith({"desk-1", "desk-2"});
  const std::string repeated = request("GET", "/get/a");
  for (int n = 0; n < Sent; ++n)
    awaitResponse(sendRequest(Callers, repeated));
  EXPECT_LE(repeats(), Ratio * RequestCount + FixedRetries);
}

// Guards against requests that run on more runners than their route allows.
TEST_F(GatewayRepeatedIdTest, requestsWithOneIdShareTheAttemptsOfTheirRoute) {
  RetryRatio = "0.9";
  for (const char *id : {"desk-1", "desk-2", "desk-3", "desk-4"})
    addPlainRunner(id).traits().AlwaysFails = true;
  configure();
  startAndAwaitReady();
  for (int n = 0; n < 20; ++n)
    awaitResponse(sendRequest(Callers, request("GET", "/get/a")));
  const std::string repeated = request("GET", "/get/a");
  for (int n = 0; n < 4; ++n)
    awaitResponse(sendRequest(Callers, repeated));
  EXPECT_LE(runsOfLastRequest(), 2);
}

// Guards against unsafe requests that run twice, one after the other or at
// once, as their caller sends them twice.
TEST_F(GatewayRepeatedIdTest, unsafeRequestThatIsSentTwiceRunsOnce) {
  startWith({"desk-1", "desk-2"});
  const std::string repeated = request("POST", "/post/a");
  EXPECT_EQ(awaitResponse(sendRequest(Callers, repeated))->Status, 200);
  const auto again = awaitResponse(sendRequest(Callers, repeated));
  EXPECT_EQ(again->Status, 502) << "503 would promise that it did not run";
  EXPECT_EQ(runsOfLastRequest(), 1);

  const std::string atOnce = request("POST", "/post/a");
  const auto first = sendRequest(Callers, atOnce);
  const auto second = sendRequest(Callers, atOnce);
  awaitResponse(first);
  awaitResponse(second);
  EXPECT_EQ(runsOfLastRequest(), 1);
}

} // namespace
