#pragma once

#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/core/Result.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cowslipridge::backing {

enum class Role { Entry, Sidecar };

/// The registration of one instance. The list may be stale; treat it as a hint.
struct InstanceRecord {
  core::InstanceId Name;
  Role Kind = Role::Entry;
  core::FailureDomainId Domain;
  core::Incarnation Start;
  std::string Address; ///< IP address
  std::uint16_t RpcPort = 0;
  std::uint16_t HttpPort = 0;
  core::ServiceId Service; ///< sidecars only: service of the runner
  std::vector<core::VersionId> Versions; ///< sidecars only
  bool Leaving = false;                  ///< the instance is draining

  friend auto operator<=>(const InstanceRecord &,
                          const InstanceRecord &) = default;
};

/// Interface to the platform's list of live and draining instances.
class InstanceList {
public:
  virtual ~InstanceList() = default;
  /// Adds or replaces the record of this instance.
  virtual void publish(const InstanceRecord &record,
                       std::function<void(std::error_code)> done) = 0;
  virtual void withdraw(const core::InstanceId &name,
                        std::function<void(std::error_code)> done) = 0;
  virtual void fetch(
      std::function<void(core::Result<std::vector<InstanceRecord>>)> done) = 0;
};

} // namespace cowslipridge::backing
