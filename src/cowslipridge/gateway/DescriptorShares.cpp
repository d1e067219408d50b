#include "cowslipridge/gateway/DescriptorShares.hpp"

#include <algorithm>

namespace cowslipridge::gateway {

namespace {

/// Kept back, in addition to one part in ReservedDivisor of all.
constexpr std::size_t ReservedDescriptors = 64;
constexpr std::size_t ReservedDivisor = 16;
/// Of callers and of runners, however few descriptors there are.
constexpr std::size_t MinConnections = 8;

} // namespace

DescriptorShares shareDescriptors(std::size_t descriptors) {
  const std::size_t reserved = std::min(
      descriptors, ReservedDescriptors + descriptors / ReservedDivisor);
  const std::size_t share =
      std::max(MinConnections, (descriptors - reserved) / 2);
  return {share, share};
}

} // namespace cowslipridge::gateway
