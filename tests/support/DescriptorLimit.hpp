#pragma once

#include <sys/resource.h>

namespace cowslipridge::support {

/// Limits the descriptors of the processes that are started in its lifetime.
/// The calling process keeps those that it has open.
class DescriptorLimit {
public:
  explicit DescriptorLimit(rlim_t limit) {
    ::getrlimit(RLIMIT_NOFILE, &Before);
    rlimit lowered = Before;
    lowered.rlim_cur = limit;
    ::setrlimit(RLIMIT_NOFILE, &lowered);
  }
  ~DescriptorLimit() { ::setrlimit(RLIMIT_NOFILE, &Before); }
  DescriptorLimit(const DescriptorLimit &) = delete;
  DescriptorLimit &operator=(const DescriptorLimit &) = delete;

private:
  rlimit Before{};
};

} // namespace cowslipridge::support
