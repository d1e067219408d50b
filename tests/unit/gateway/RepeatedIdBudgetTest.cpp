#include "DispatcherFixture.hpp"

using namespace cowslipridge;
using namespace cowslipridge::gateway;

namespace {

/// The retry budget beside callers that send ids again.
class RepeatedIdBudgetTest : public DispatcherTest {
protected:
  /// Returns how many of the attempts are placed.
  int retry(const RequestContext &context, int attempts) {
    int placed = 0;
    for (int n = 0; n < attempts; ++n) {
      const auto result =
          RequestDispatcher.place(context, 0, {}, AttemptKind::Retry, Now);
      const auto *it = std::get_if<Placement>(&result);
      if (it == nullptr)
        continue;
      serve(RequestDispatcher, *it);
      ++placed;
    }
    return placed;
  }
};

// Guards against ordinary requests that can't be retried, as callers that send
// an id again and again use the budget up.
TEST_F(RepeatedIdBudgetTest, callersThatRepeatIdsLeaveHalfOfTheRetries) {
  constexpr int Many = 2'000;
  RequestContext repeated = request(1, 100);
  repeated.Earlier = {true, true, 1};
  const int used = retry(repeated, Many);
  EXPECT_GT(used, 0);
  const int left = retry(request(1, 100), Many);
  EXPECT_GE(left, used);
}

} // namespace
