#pragma once

#include "ProcessContext.hpp"
#include "RoleService.hpp"

#include "cowslipridge/entry/Entry.hpp"

namespace cowslipridge::daemon {

/// The role of a process that serves as an entry.
class EntryRole final : public RoleService {
public:
  EntryRole(ProcessContext &process, rpc::ConfigurationPort source);
  ~EntryRole() override;

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
  ProcessContext &Process;
  std::shared_ptr<entry::Entry> Entry;
  std::atomic<bool> Refusing = false; ///< new requests are refused
};

} // namespace cowslipridge::daemon
