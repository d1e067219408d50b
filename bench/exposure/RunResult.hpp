#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <cstdint>
#include <optional>

namespace cowslipridge::exposure {

/// Result of one run of one method.
struct RunResult {
  std::uint64_t BadServed = 0;          ///< bad answers of the trial version
  std::optional<core::Millis> CutOffAt; ///< time since the version became bad
  std::optional<core::Millis> FullShareAt;
  bool FalseCutOff = false; ///< cut off where the version is good
};

constexpr core::Millis RunLength{900'000};

} // namespace cowslipridge::exposure
