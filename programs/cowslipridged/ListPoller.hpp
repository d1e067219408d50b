#pragma once

#include "ConfigurationService.hpp"
#include "ProcessContext.hpp"
#include "RoleService.hpp"

namespace cowslipridge::daemon {

/// Fetches the instance list periodically and passes it to the role.
class ListPoller final : public kernel::Service {
public:
  ListPoller(ProcessContext &process, std::shared_ptr<RoleService> role,
             std::shared_ptr<ConfigurationService> configuration);

  bool start() override;
  void stop() override;

private:
  void poll();

  ProcessContext &Process;
  std::shared_ptr<RoleService> Role;
  std::shared_ptr<ConfigurationService> Configuration;
  std::shared_ptr<std::atomic<bool>> Stopped;
};

} // namespace cowslipridge::daemon
