#pragma once

#include <cstddef>

namespace cowslipridge::gateway {

/// How many of a gateway's descriptors connections may take up. Each request in
/// progress needs one from its caller and one to its runner.
struct DescriptorShares {
  std::size_t Callers = 0;
  std::size_t Runners = 0;
};

/// Divides the descriptors of a process. The rest is for the store, the
/// readiness check, metrics, peers and files.
[[nodiscard]] DescriptorShares shareDescriptors(std::size_t descriptors);

} // namespace cowslipridge::gateway
