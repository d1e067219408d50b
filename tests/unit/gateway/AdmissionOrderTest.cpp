#include "cowslipridge/gateway/AdmissionOrder.hpp"

#include "DispatcherFixture.hpp"

#include <memory>

using namespace cowslipridge;
using namespace cowslipridge::gateway;
using core::Millis;

namespace {

class AdmissionOrderTest : public DispatcherTest {
protected:
  AdmissionOrderTest() {
    config::GatewaySettings on = settings();
    on.AdmissionOrder = true;
    Ordered = std::make_unique<Dispatcher>(on);
    Ordered->setCatalogue(Declared);
    for (int n = 0; n < 12; ++n)
      add(*Ordered, "runner-" + std::to_string(n));
  }
  /// Returns a request of the rank, which an organisation gives it.
  RequestContext ranked(int rank, std::uint64_t part) {
    RequestContext context = request(part, 6'000);
    Organisations[rank].Priority = rank;
    context.Organisation = &Organisations[rank];
    return context;
  }

  /// Sends requests until they wait longer than a quarter of the target at all
  /// runners: those of the larger model take over some before.
  std::vector<Placement> sendUntilScarce() {
    std::vector<Placement> sent;
    int late = 0;
    for (std::uint64_t n = 1; n <= 20'000; ++n) {
      sent.push_back(place(*Ordered, ranked(1, n)).value());
      const bool waits = sent.back().PredictedFirstByte > Millis(1'500);
      late = waits ? late + 1 : 0;
      if (late > 50)
        break;
    }
    return sent;
  }

  std::map<int, catalogue::Organisation> Organisations;
  std::unique_ptr<Dispatcher> Ordered;
};

TEST_F(AdmissionOrderTest, withoutScarcityTheRankIsSent) {
  for (int rank = 0; rank <= 9; ++rank) {
    const auto context = ranked(rank, static_cast<std::uint64_t>(rank) + 1);
    EXPECT_EQ(place(*Ordered, context)->Urgency, rank);
  }
}

// Guards against a gateway that is switched off and orders all the same.
TEST_F(AdmissionOrderTest, switchedOffTheChoicesAreThoseOfTheRankAlone) {
  for (std::uint64_t n = 1; n <= 200; ++n) {
    const int rank = static_cast<int>(n % 10);
    const auto context = ranked(rank, n);
    const auto off = place(RequestDispatcher, context);
    const auto on = place(*Ordered, context);
    ASSERT_EQ(off.has_value(), on.has_value());
    if (!off)
      continue;
    EXPECT_EQ(off->Urgency, rank);
    EXPECT_EQ(off->Runner, on->Runner);
    EXPECT_EQ(off->PredictedFirstByte, on->PredictedFirstByte);
  }
}

TEST_F(AdmissionOrderTest, underScarcityAReturnedRequestGoesFirstInItsRank) {
  sendUntilScarce();
  RequestContext context = ranked(1, 90'001);
  EXPECT_EQ(place(*Ordered, context)->Urgency, 4);
  context = ranked(1, 90'002);
  context.Caller.Remaining = Millis(7'000);
  EXPECT_EQ(place(*Ordered, context)->Urgency, 3);
  EXPECT_EQ(place(*Ordered, ranked(0, 90'003))->Urgency, 1);
}

// Guards against work that counts as pending for ever.
TEST_F(AdmissionOrderTest, scarcityEndsWithItsRequests) {
  const std::vector<Placement> sent = sendUntilScarce();
  EXPECT_GE(sent.back().Urgency, 3);
  for (const Placement &it : sent)
    Ordered->onEnded(it.Ticket, AttemptOutcome::Cancelled, Now);
  EXPECT_EQ(place(*Ordered, ranked(1, 90'001))->Urgency, 1);
}

} // namespace
