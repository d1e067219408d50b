#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "standins/RunLog.hpp"
#include "standins/Scheduler.hpp"
#include "standins/StandIn.hpp"

#include <memory>
#include <mutex>
#include <optional>

namespace cowslipridge::standins {

/// A plain backend server: each request takes effect when it arrives. After a
/// delay the response echoes the request.
class PlainService final : public StandIn {
public:
  PlainService(core::Millis delay, std::shared_ptr<Scheduler> timer);

  void serve(http::Request request,
             std::shared_ptr<http::Responder> responder) override;
  /// Serves GET /debug/runs: run counts by request and by idempotency key.
  std::optional<http::Response> debug(const http::Request &request) override;
  void setFaults(const Faults &faults) override;

private:
  core::Millis Delay;
  std::shared_ptr<Scheduler> Timer;
  std::shared_ptr<RunLog> Runs;
  std::mutex Guard;
  Faults Active;
};

} // namespace cowslipridge::standins
