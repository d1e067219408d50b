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

/// Interface of the role (entry or sidecar) to the other services of the
/// process.
class RoleService : public kernel::Service {
public:
  /// Puts a newer configuration in force. Thread-safe.
  virtual void configure(std::shared_ptr<const config::Bundle> bundle) = 0;
  /// Fetches a peer's configuration. Thread-safe.
  virtual void
  fetchBundle(const core::InstanceId &peer,
              std::function<void(core::Result<std::string>)> done) = 0;
  /// Returns true if the process can accept requests now. Thread-safe.
  [[nodiscard]] virtual bool ready() const = 0;
  /// Handles a caller's request. Thread-safe.
  virtual void handle(http::Request message,
                      std::shared_ptr<http::Responder> responder) = 0;
  /// Applies a newly fetched instance list. Thread-safe.
  virtual void
  applyInstanceList(std::vector<backing::InstanceRecord> records) = 0;
  /// Returns the status as one JSON object for operators. Blocks; must not be
  /// called on the event loop.
  [[nodiscard]] virtual std::string statusJson() = 0;
  /// Returns the routing decisions of a request as JSON; empty if unknown.
  [[nodiscard]] virtual std::string
  explainJson(const core::RequestId &request) = 0;
};

} // namespace cowslipridge::daemon
