#include "cowslipridge/route/ModelLadder.hpp"

#include <algorithm>

namespace cowslipridge::route {

namespace {

/// Answers with less confidence are doubted on quiet runners.
constexpr double DoubtBelow = 60;
/// Part of the time that has to be left free for the doubt to count in full.
constexpr double EaseAtSlack = 0.5;

// Part of `available` that `needed` leaves free; negative when it does not fit.
double slack(core::Millis available, core::Millis needed) {
  if (available.count() <= 0)
    return -1;
  return static_cast<double>((available - needed).count()) /
         static_cast<double>(available.count());
}

} // namespace

bool asksLargest(const LadderFacts &facts) {
  const double free = std::min(slack(facts.Target, facts.Largest.FirstToken),
                               slack(facts.Deadline, facts.Largest.Whole));
  const double ease = std::clamp(free / EaseAtSlack, 0.0, 1.0);
  return facts.Confidence < DoubtBelow * ease;
}

} // namespace cowslipridge::route
