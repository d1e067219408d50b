#include "cowslipridge/route/ModelCascade.hpp"

#include <algorithm>

namespace cowslipridge::route {

namespace {

/// Answers with less confidence are doubted on quiet runners.
constexpr double DoubtBelow = 62;
/// Parts of the time that are left free: with less than the first no answer is
/// doubted, with more than the second the doubt counts in full.
constexpr double TightSlack = 0.3;
constexpr double EaseAtSlack = 0.75;

// Part of `available` that `needed` leaves free; negative when it does not fit.
double slack(core::Millis available, core::Millis needed) {
  if (available.count() <= 0)
    return -1;
  return static_cast<double>((available - needed).count()) /
         static_cast<double>(available.count());
}

} // namespace

bool isLowConfidence(int confidence) { return confidence < DoubtBelow; }

bool shouldEscalate(const EscalationContext &facts) {
  const double free = std::min(slack(facts.Target, facts.Largest.FirstToken),
                               slack(facts.Deadline, facts.Largest.Completion));
  const double ease =
      std::clamp((free - TightSlack) / (EaseAtSlack - TightSlack), 0.0, 1.0);
  return facts.Confidence < DoubtBelow * ease;
}

} // namespace cowslipridge::route
