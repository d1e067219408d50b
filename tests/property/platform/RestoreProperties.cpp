#include "property/platform/RestoreSimulation.hpp"

#include "support/PropertyChecks.hpp"

using namespace cowslipridge;
using namespace cowslipridge::platform;
using core::Millis;

namespace {

constexpr int Histories = 3'000;
constexpr int MaxEvents = 120;

/// Applies one random event. Time passes with most of them.
void applyRandomEvent(RestoreSimulation &simulation) {
  const auto gateway =
      *rc::gen::inRange<std::size_t>(0, RestoreSimulation::GatewayCount);
  const auto other =
      *rc::gen::inRange<std::size_t>(0, RestoreSimulation::GatewayCount);
  simulation.advance(Millis(*rc::gen::inRange(0, 300)));
  switch (*rc::gen::inRange(0, 16)) {
  case 0:
    simulation.copyStore();
    break;
  case 1:
    simulation.restore(*rc::gen::inRange<std::size_t>(0, 4));
    break;
  case 2:
    simulation.command();
    break;
  case 3:
    simulation.restart(gateway);
    break;
  case 4:
  case 5:
    simulation.report(gateway, other);
    break;
  case 6:
  case 7:
  case 8:
    simulation.execute();
    break;
  case 9:
  case 10:
  case 11:
    simulation.decide(gateway);
    break;
  default:
    simulation.sync(gateway);
    break;
  }
}

void checkHistory(bool guarded, bool settles) {
  RestoreSimulation simulation(guarded);
  const int events = *rc::gen::inRange(1, MaxEvents);
  for (int n = 0; n < events && !simulation.violation(); ++n)
    applyRandomEvent(simulation);
  if (settles)
    simulation.settle();
  RC_ASSERT(simulation.violation().value_or("") == "");
}

TEST(RestoreProperties, rolloutGoesOnAndEndsOnceThroughRestores) {
  support::expectHolds(Histories, [] { checkHistory(true, true); });
}

// The counterpart: a revision that is given out again lets a transaction
// replace a record that its writer has not read.
TEST(RestoreProperties, revisionsAloneLetTransactionsReplaceOtherRecords) {
  support::expectViolated(Histories, [] { checkHistory(false, false); });
}

} // namespace
