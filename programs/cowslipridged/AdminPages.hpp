#pragma once

#include "ProcessContext.hpp"
#include "RoleService.hpp"

#include "cowslipridge/http/Server.hpp"

namespace cowslipridge::daemon {

/// The HTTP listener. Serves the health, metrics and admin pages, and forwards
/// all other requests to the role.
class AdminPages final : public kernel::Service {
public:
  AdminPages(ProcessContext &process, std::shared_ptr<RoleService> role);

  bool start() override;
  void drain() override;
  [[nodiscard]] bool idle() const override;
  void stop() override;

private:
  void handle(http::Request message,
              std::shared_ptr<http::Responder> responder);
  http::Response answer(const http::Request &message);
  http::Response answerAdmin(const http::Request &message);
  http::Response timeline(const http::Request &message);
  http::Response explain(const http::Request &message);
  [[nodiscard]] bool isOperator(const http::Request &message) const;

  ProcessContext &Process;
  std::shared_ptr<RoleService> Role;
  http::Server Listener;
};

} // namespace cowslipridge::daemon
