#include "cowslipridge/limits/ReturnSlots.hpp"

#include <algorithm>
#include <cmath>

namespace cowslipridge::limits {

namespace {

/// Period over which first tokens are counted.
constexpr double RatePeriodMillis = 2'000;
/// Bound on the interval between places while few first tokens arrive.
constexpr double MaxIntervalMillis = 250;
/// Callers wait at most for one part in this of the time that they have left.
constexpr std::int64_t MaxShareDivisor = 3;

} // namespace

void ReturnSlots::onFirstToken(core::Millis now) {
  RecentTokens =
      1 +
      RecentTokens * std::exp(-static_cast<double>((now - CountedAt).count()) /
                              RatePeriodMillis);
  CountedAt = now;
}

double ReturnSlots::intervalMillis(core::Millis now) const {
  const double tokens =
      RecentTokens * std::exp(-static_cast<double>((now - CountedAt).count()) /
                              RatePeriodMillis);
  return std::min(MaxIntervalMillis, RatePeriodMillis / std::max(tokens, 1.0));
}

core::Millis ReturnSlots::next(const RejectedCaller &caller, core::Millis now) {
  const double interval = intervalMillis(now);
  const auto rank = static_cast<std::size_t>(
      std::clamp(caller.Rank, 0, static_cast<int>(Ranks) - 1));
  const auto start = static_cast<double>(
      (now + std::max(MinRetryAfter, caller.Earliest)).count());
  const double slot = std::max(NextFree[rank], start);
  const core::Millis wait =
      core::Millis(std::llround(slot + Position * interval)) - now;
  const core::Millis longest =
      std::max(MinRetryAfter, caller.TimeLeft / MaxShareDivisor);
  // A caller that returns before its place takes none, so that the places of
  // callers that ignore theirs do not add up.
  if (wait > longest)
    return longest;
  for (std::size_t n = rank; n < Ranks; ++n)
    NextFree[n] = std::max(NextFree[n], slot) + interval;
  return wait;
}

} // namespace cowslipridge::limits
