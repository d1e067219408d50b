#pragma once

#include "cowslipridge/rollout/IntervalHistogram.hpp"

#include <cstdint>

namespace cowslipridge::rollout {

/// Returns whether a version streams its answers more slowly than the stable
/// version, by the streams of both at the same load.
bool streamsSlower(const IntervalsByLoad &trial, const IntervalsByLoad &stable);

/// Returns whether there are enough streams to tell that a version is about as
/// fast as the stable one, and it is.
bool streamsAsFast(const IntervalsByLoad &trial, const IntervalsByLoad &stable);

/// Returns whether the stable version has streams enough to compare with.
bool hasComparableStreams(const IntervalsByLoad &stable);

/// Plain answers, and those among them that took longer than nearly all answers
/// of the stable version at the same load.
struct RatedAnswers {
  std::uint64_t Rated = 0;
  std::uint64_t Slow = 0;
};

/// Rates answers by the durations of the stable version. Leaves out those at a
/// load at which the stable version has too few to compare with.
RatedAnswers rate(const IntervalsByLoad &answers,
                  const IntervalsByLoad &stable);

} // namespace cowslipridge::rollout
