#pragma once

#include <cstdint>
#include <random>

namespace cowslipridge::core {

/// The seeded random number generator of decision code. The caller owns it, so
/// that a run can be reproduced from its seed.
using Random = std::mt19937_64;

/// Returns a random number in [0, 1).
inline double uniform(Random &random) {
  return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

/// Returns a random index in [0, size); `size` must not be 0.
inline std::size_t uniformIndex(Random &random, std::size_t size) {
  return std::uniform_int_distribution<std::size_t>(0, size - 1)(random);
}

} // namespace cowslipridge::core
