#pragma once

#include "ProcessContext.hpp"
#include "RoleService.hpp"

#include "cowslipridge/config/Follower.hpp"
#include "cowslipridge/rpc/ConfigurationPort.hpp"

#include <map>
#include <mutex>

namespace cowslipridge::daemon {

/// Keeps this process on the newest configuration that the store or a peer has.
class ConfigurationService final : public kernel::Service {
public:
  explicit ConfigurationService(ProcessContext &process);
  ~ConfigurationService() override;

  /// Connects the role's peer messages to the configuration: they report the
  /// local state and deliver the peers' reports and offers.
  [[nodiscard]] rpc::ConfigurationPort port();
  /// Sets the role to which configurations are applied. Call before start().
  void setRole(std::shared_ptr<RoleService> role);
  /// Sets the number of processes in the fleet, taken from the instance list.
  void setFleetSize(std::size_t size) { ConfigFollower->setFleetSize(size); }

  bool start() override;
  void stop() override;

private:
  using FetchDone = std::function<void(core::Result<std::string>)>;

  void tick();
  void reportGauges();
  void acceptOffer(const core::InstanceId &peer, rpc::BundleContent content);
  void fetch(const core::InstanceId &peer, FetchDone done);

  ProcessContext &Process;
  std::shared_ptr<RoleService> Role;
  std::shared_ptr<std::atomic<bool>> Stopped;
  std::mutex Mutex;
  std::map<core::InstanceId, std::string> Offers; ///< bundles that peers sent
  std::unique_ptr<config::Follower> ConfigFollower;
};

} // namespace cowslipridge::daemon
