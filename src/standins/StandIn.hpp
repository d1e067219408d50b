#pragma once

#include "cowslipridge/http/Server.hpp"
#include "standins/Faults.hpp"

#include <memory>
#include <optional>

/// Stand-ins for the platform's services and for backend servers. They speak
/// the real protocols, hold all state in memory and inject faults on request.
namespace cowslipridge::standins {

/// One service that a Host serves.
class StandIn {
public:
  virtual ~StandIn() = default;
  /// Serves one request; must not block.
  virtual void serve(http::Request request,
                     std::shared_ptr<http::Responder> responder) = 0;
  /// Returns the response to a request below /debug/, or nothing when the
  /// service has no such page.
  virtual std::optional<http::Response> debug(const http::Request &request) {
    (void)request;
    return std::nullopt;
  }
  /// Called with the new set of faults whenever it is replaced.
  virtual void setFaults(const Faults &faults) { (void)faults; }
};

} // namespace cowslipridge::standins
