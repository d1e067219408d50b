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

/// One daemon, as it registers itself. The list lags: treat it as a hint.
struct InstanceRecord {
  core::InstanceId Name;
  Role Kind = Role::Entry;
  core::FailureDomainId Domain;
  core::Incarnation Start;
  std::string Address; ///< IP number
  std::uint16_t RpcPort = 0;
  std::uint16_t HttpPort = 0;
  core::ServiceId Service; ///< sidecars only: the service its runner serves
  std::vector<core::VersionId> Versions; ///< sidecars only
  bool Leaving = false;

  friend auto operator<=>(const InstanceRecord &,
                          const InstanceRecord &) = default;
};

/// Port to the platform's list of live and leaving instances.
class InstanceList {
public:
  virtual ~InstanceList() = default;
  /// Adds or replaces this daemon's record.
  virtual void publish(const InstanceRecord &record,
                       std::function<void(std::error_code)> done) = 0;
  virtual void withdraw(const core::InstanceId &name,
                        std::function<void(std::error_code)> done) = 0;
  virtual void fetch(
      std::function<void(core::Result<std::vector<InstanceRecord>>)> done) = 0;
};

} // namespace cowslipridge::backing
