#include "cowslipridge/route/ModelLadder.hpp"

#include <algorithm>

namespace cowslipridge::route {

namespace {

/// Answers with less confidence are doubted on quiet runners.
constexpr double DoubtBelow = 60;
/// Part of the target that has to be left for the doubt to count in full.
constexpr double EaseAtSlack = 0.5;

double slackOf(const LadderFacts &facts, std::size_t tier) {
  const core::Millis left =
      facts.Target - facts.Elapsed - facts.FirstToken[tier];
  return static_cast<double>(left.count()) /
         static_cast<double>(std::max<std::int64_t>(1, facts.Target.count()));
}

} // namespace

std::size_t betterTier(const LadderFacts &facts) {
  for (std::size_t tier = facts.FirstToken.size(); tier-- > facts.Tier + 1;) {
    const double ease =
        std::clamp(slackOf(facts, tier) / EaseAtSlack, 0.0, 1.0);
    if (facts.Confidence < DoubtBelow * ease)
      return tier;
  }
  return facts.Tier;
}

} // namespace cowslipridge::route
