#include "cowslipridge/gateway/DescriptorShares.hpp"

#include <algorithm>

namespace cowslipridge::gateway {

namespace {

/// Kept back, in addition to one part in ReservedDivisor of all.
constexpr std::size_t ReservedDescriptors = 64;
constexpr std::size_t ReservedDivisor = 16;

} // namespace

DescriptorShares shareDescriptors(std::size_t descriptors) {
  const std::size_t reserved = std::min(
      descriptors, ReservedDescriptors + descriptors / ReservedDivisor);
  const std::size_t callers = (descriptors - reserved) / 2;
  return {callers, descriptors - reserved - callers};
}

} // namespace cowslipridge::gateway
