#include "cowslipridge/limits/FairQueue.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::limits;

namespace {

Arrival makeArrival(const std::string &organisation, int n, unsigned weight,
                    std::int64_t work = 100) {
  Arrival arrival;
  arrival.Request = core::RequestId(organisation + std::to_string(n));
  arrival.Organisation = core::OrganisationId(organisation);
  arrival.Weight = weight;
  arrival.Deadline = core::Millis(100'000 + n);
  arrival.ExpectedWork = core::Millis(work);
  return arrival;
}

TEST(FairQueue, sharesWorkByWeight) {
  FairQueue queue;
  for (int n = 0; n < 100; ++n) {
    queue.push(makeArrival("a", n, 3));
    queue.push(makeArrival("b", n, 1));
  }
  int first = 0;
  for (int n = 0; n < 80; ++n)
    first += queue.pop()->Organisation == core::OrganisationId("a");
  EXPECT_NEAR(first, 60, 2);
}

TEST(FairQueue, chargesByWorkRatherThanByNumberOfRequests) {
  FairQueue queue;
  for (int n = 0; n < 100; ++n) {
    queue.push(makeArrival("long", n, 1, 400));
    queue.push(makeArrival("short", n, 1, 100));
  }
  int shorts = 0;
  for (int n = 0; n < 50; ++n)
    shorts += queue.pop()->Organisation == core::OrganisationId("short");
  EXPECT_NEAR(shorts, 40, 2);
}

TEST(FairQueue, idleOrganisationAccumulatesNoShare) {
  FairQueue queue;
  for (int n = 0; n < 50; ++n)
    queue.push(makeArrival("busy", n, 1));
  for (int n = 0; n < 40; ++n)
    queue.pop();
  for (int n = 0; n < 10; ++n)
    queue.push(makeArrival("late", n, 1));
  int late = 0;
  for (int n = 0; n < 10; ++n)
    late += queue.pop()->Organisation == core::OrganisationId("late");
  EXPECT_NEAR(late, 5, 1);
}

TEST(FairQueue, workAheadDependsOnShareOfOrganisation) {
  FairQueue queue;
  for (int n = 0; n < 50; ++n)
    queue.push(makeArrival("flood", n, 1));
  EXPECT_DOUBLE_EQ(queue.workAhead(makeArrival("quiet", 0, 1)), 0);
  EXPECT_DOUBLE_EQ(queue.workAhead(makeArrival("flood", 50, 1)), 5000);
  EXPECT_DOUBLE_EQ(queue.queuedWork(), 5000);
}

} // namespace
