#pragma once

#include "ProcessContext.hpp"
#include "RoleService.hpp"

#include "cowslipridge/config/Follower.hpp"
#include "cowslipridge/rpc/ConfigurationPort.hpp"

#include <map>
#include <mutex>

namespace cowslipridge::daemon {

/// Keeps this process on the newest configuration of the store and its peers.
class ConfigurationService final : public kernel::Service {
public:
  explicit ConfigurationService(ProcessContext &process);
  ~ConfigurationService() override;

  /// What the role's messages carry and hear.
  [[nodiscard]] rpc::ConfigurationPort port();
  /// The role that configurations take effect in; set before start().
  void setRole(std::shared_ptr<RoleService> role);
  /// Processes in the fleet, as the instance list has it.
  void setFleetSize(std::size_t size) { Source->setFleetSize(size); }

  bool start() override;
  void stop() override;

private:
  using FetchDone = std::function<void(core::Result<std::string>)>;

  void tick();
  void takeOffer(const core::InstanceId &peer, rpc::BundleContent content);
  void fetch(const core::InstanceId &peer, FetchDone done);

  ProcessContext &Process;
  std::shared_ptr<RoleService> Role;
  std::shared_ptr<std::atomic<bool>> Stopped;
  std::mutex Guard;
  std::map<core::InstanceId, std::string> Offers; ///< bundles handed over
  std::unique_ptr<config::Follower> Source;
};

} // namespace cowslipridge::daemon
