#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "standins/Scheduler.hpp"
#include "standins/StandIn.hpp"

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace cowslipridge::standins {

/// Consul's agent and health HTTP API. Changes become visible only after a
/// lag, which PUT /debug/lag (`{"ms": 30000}`) sets at run time.
class InstanceRegistry final : public StandIn {
public:
  InstanceRegistry(core::Millis lag, std::shared_ptr<Scheduler> timer);

  void serve(http::Request request,
             std::shared_ptr<http::Responder> responder) override;
  /// Serves GET /debug/instances: all registered instances, without the lag.
  std::optional<http::Response> debug(const http::Request &request) override;

private:
  struct Change {
    core::Millis MadeAt;
    std::string Id;
    std::optional<std::string> Registration; ///< empty: deregistration
  };

  http::Response registerInstance(const std::string &body);
  void enqueueChange(std::string id, std::optional<std::string> registration);
  void applyDueChanges();
  http::Response setLag(const std::string &body);

  std::shared_ptr<Scheduler> Timer;
  std::mutex Guard;
  core::Millis Lag;
  std::deque<Change> Pending;
  std::map<std::string, std::string> Visible;
  std::map<std::string, std::string> Registered;
};

} // namespace cowslipridge::standins
