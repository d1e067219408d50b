#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <cstddef>
#include <vector>

namespace cowslipridge::route {

/// What decides whether a larger model is asked after a smaller one answered.
struct LadderFacts {
  int Confidence = 0;   ///< the smaller model's opinion of its answer, 0..100
  std::size_t Tier = 0; ///< of the answer, 0 is the smallest model
  core::Millis Elapsed; ///< since the request arrived
  core::Millis Target;  ///< until the first token
  /// Forecast of the first token of each tier, were it asked now.
  std::vector<core::Millis> FirstToken;
};

/// The tier to ask now; `Tier` itself when its answer is kept.
///
/// The pattern it answers: a larger model answers hard requests well but has
/// less room. Quiet runners take every doubtful request; as the forecast of the
/// larger model nears the target, only the most doubtful ones go on, and none
/// once its answer would be late.
std::size_t betterTier(const LadderFacts &facts);

} // namespace cowslipridge::route
