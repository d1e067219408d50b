#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <array>
#include <compare>
#include <cstddef>

namespace cowslipridge::limits {

/// What one request needs from the runner that would answer it first.
struct WorkEstimate {
  static constexpr std::size_t Priorities = 10;

  core::Millis FirstToken; ///< time to the first token on an idle runner
  /// Additional time due to requests with an engine priority up to the index:
  /// the engine puts them first if this one gets that priority. A wait for the
  /// others would be counted in vain, and make every request of a backlog look
  /// late.
  std::array<core::Millis, Priorities> Ahead{};
  core::Millis Generation; ///< from the first token to the end of the answer
  /// Returns the additional time due to all other requests.
  [[nodiscard]] core::Millis waiting() const { return Ahead.back(); }
  friend auto operator<=>(const WorkEstimate &, const WorkEstimate &) = default;
};

} // namespace cowslipridge::limits
