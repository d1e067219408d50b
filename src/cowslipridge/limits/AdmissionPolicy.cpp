#include "cowslipridge/limits/AdmissionPolicy.hpp"

#include <algorithm>

namespace cowslipridge::limits {

namespace {

constexpr int LeastUrgent = 9;
/// Below one part in this of the target, the wait for other requests makes none
/// late.
constexpr std::int64_t ScarcityDivisor = 4;
/// A request is held for at most one part in this of its target.
constexpr std::int64_t MaxHoldDivisor = 2;
/// Engine priorities of one rank.
constexpr int StepsPerRank = 3;

/// Returns the engine's priority of a step within a rank.
int priorityOf(int rank, int step) {
  return std::clamp(StepsPerRank * rank + step, 0, LeastUrgent);
}

bool isFavoured(const AdmissionFacts &facts) {
  return facts.Returned || facts.RarelyServed || facts.SizeRarelyServed;
}

core::Millis firstTokenAt(const AdmissionFacts &facts, int priority,
                          core::Millis now) {
  return now + facts.Work.FirstToken +
         facts.Work.Ahead.at(static_cast<std::size_t>(priority));
}

int scarcePriority(const AdmissionFacts &facts, core::Millis now) {
  if (isFavoured(facts))
    return priorityOf(facts.RarelyServed ? 0 : facts.Rank, 0);
  const int inTime = priorityOf(facts.Rank, 1);
  const bool late =
      firstTokenAt(facts, inTime, now) > facts.ArrivedAt + facts.Target;
  return late || facts.OverShare ? priorityOf(facts.Rank, 2) : inTime;
}

} // namespace

bool AdmissionPolicy::isScarce(const AdmissionFacts &facts,
                               const Capacity &capacity) {
  return capacity.isKnown() && facts.ShortestTarget > core::Millis() &&
         facts.Work.waiting() * ScarcityDivisor >= facts.ShortestTarget;
}

AdmissionDecision AdmissionPolicy::decide(const AdmissionFacts &facts,
                                          const Capacity &capacity,
                                          core::Millis now) {
  const bool scarce = isScarce(facts, capacity);
  const int priority = scarce ? scarcePriority(facts, now)
                              : std::clamp(facts.Rank, 0, LeastUrgent);
  const core::Millis forecast = firstTokenAt(facts, priority, now);
  if (forecast >= facts.Deadline)
    return RejectNow{forecast - facts.Deadline};
  const core::Millis latestStart =
      facts.ArrivedAt + facts.Target - facts.Work.FirstToken;
  const core::Millis until =
      std::min(latestStart, facts.ArrivedAt + facts.Target / MaxHoldDivisor);
  if (scarce && facts.MoreUrgentWaiting > 0 && !isFavoured(facts) &&
      now < until)
    return HoldUntil{until, {facts.Rank, latestStart}};
  return SendNow{priority};
}

} // namespace cowslipridge::limits
