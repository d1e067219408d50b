#pragma once

#include "cowslipridge/http/Server.hpp"
#include "standins/Faults.hpp"

#include <memory>
#include <optional>

/// Stand-ins for the platform's services and for backend servers. They speak
/// the real protocols, keep everything in memory and can be told to fail.
namespace cowslipridge::standins {

/// One service that a Host serves.
class StandIn {
public:
  virtual ~StandIn() = default;
  /// Serves one call; must not block.
  virtual void serve(http::Request request,
                     std::shared_ptr<http::Responder> responder) = 0;
  /// Answers a request below /debug/, or nothing when there is no such page.
  virtual std::optional<http::Response> debug(const http::Request &request) {
    (void)request;
    return std::nullopt;
  }
  /// Hears of a new set of faults.
  virtual void setFaults(const Faults &faults) { (void)faults; }
};

} // namespace cowslipridge::standins
