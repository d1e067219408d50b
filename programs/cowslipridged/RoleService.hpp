#pragma once

#include "cowslipridge/backing/InstanceList.hpp"
#include "cowslipridge/config/Declaration.hpp"
#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/http/Server.hpp"
#include "cowslipridge/kernel/Kernel.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cowslipridge::daemon {

/// What the other services need of the role that this process plays.
class RoleService : public kernel::Service {
public:
  /// Puts a newer configuration in force. From any thread.
  virtual void configure(std::shared_ptr<const config::Bundle> bundle) = 0;
  /// Asks a peer for its configuration. From any thread.
  virtual void
  fetchBundle(const core::InstanceId &peer,
              std::function<void(core::Result<std::string>)> done) = 0;
  /// True when work can be taken now. From any thread.
  [[nodiscard]] virtual bool ready() const = 0;
  /// A caller's request. From any thread.
  virtual void handle(http::Request message,
                      std::shared_ptr<http::Responder> responder) = 0;
  /// The list of instances was read. From any thread.
  virtual void
  applyInstanceList(std::vector<backing::InstanceRecord> records) = 0;
  /// One JSON object for operators. Waits; never on the loop.
  [[nodiscard]] virtual std::string statusJson() = 0;
  /// Why a request went where it went, as JSON; empty when not known.
  [[nodiscard]] virtual std::string
  explainJson(const core::RequestId &request) = 0;
};

} // namespace cowslipridge::daemon
