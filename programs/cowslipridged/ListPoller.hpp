#pragma once

#include "ProcessContext.hpp"
#include "RoleService.hpp"

namespace cowslipridge::daemon {

/// Reads the instance list at intervals and hands it to the role.
class ListPoller final : public kernel::Service {
public:
  ListPoller(ProcessContext &process, std::shared_ptr<RoleService> role);

  bool start() override;
  void stop() override;

private:
  void poll();

  ProcessContext &Process;
  std::shared_ptr<RoleService> Role;
  std::shared_ptr<std::atomic<bool>> Stopped;
};

} // namespace cowslipridge::daemon
