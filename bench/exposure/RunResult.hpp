#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <cstdint>
#include <optional>

namespace cowslipridge::exposure {

/// What one run of one method gave.
struct RunResult {
  std::uint64_t BadServed = 0;          ///< bad answers of the trial version
  std::optional<core::Millis> CutOffAt; ///< since it was bad
  std::optional<core::Millis> FullShareAt;
  bool FalseCutOff = false; ///< cut off although good, where it is good
};

constexpr core::Millis RunLength{900'000};

} // namespace cowslipridge::exposure
