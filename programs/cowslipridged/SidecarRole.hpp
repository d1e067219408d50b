#pragma once

#include "ProcessContext.hpp"
#include "RoleService.hpp"
#include "RolloutService.hpp"

#include "cowslipridge/rpc/Server.hpp"
#include "cowslipridge/sidecar/Sidecar.hpp"

namespace cowslipridge::daemon {

/// The role of a process that serves as a sidecar, with its RPC port. Binding
/// the port prevents a second sidecar from running in the same slot.
class SidecarRole final : public RoleService {
public:
  SidecarRole(ProcessContext &process, rpc::ConfigurationPort source);
  ~SidecarRole() override;

  bool start() override;
  void drain() override;
  [[nodiscard]] bool idle() const override;
  void stop() override;

  void configure(std::shared_ptr<const config::Bundle> bundle) override;
  void
  fetchBundle(const core::InstanceId &peer,
              std::function<void(core::Result<std::string>)> done) override;
  [[nodiscard]] bool ready() const override;
  void handle(http::Request message,
              std::shared_ptr<http::Responder> responder) override;
  void applyInstanceList(std::vector<backing::InstanceRecord> records) override;
  [[nodiscard]] std::string statusJson() override;
  [[nodiscard]] std::string
  explainJson(const core::RequestId &request) override;

private:
  std::shared_ptr<ledger::Ledger>
  openJournal(const config::ServiceDeclaration &service);
  std::shared_ptr<runner::Runner> makeRunner(config::ServiceKind kind);

  void
  takeOverMissingSidecars(ledger::Ledger &journal,
                          const std::vector<backing::InstanceRecord> &records);

  ProcessContext &Process;
  /// Time at which each other sidecar of the same service was last listed.
  std::map<core::InstanceId, core::Millis> LastListed;
  std::shared_ptr<sidecar::Sidecar> Sidecar;
  std::unique_ptr<RolloutService> Rollout;
  std::unique_ptr<rpc::Server> Port;
  std::atomic<bool> JournalOpen = false;
  std::atomic<bool> Refusing = false;
};

} // namespace cowslipridge::daemon
