#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "standins/Scheduler.hpp"
#include "standins/StandIn.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace cowslipridge::standins {

struct WeightSettings {
  unsigned LoadsPerMinute = 0; ///< 0: no limit
  core::Millis LoadTime;       ///< duration of one load
};

/// A rate-limited store of model weights: GET /weights/<version>.
class WeightServer final : public StandIn {
public:
  WeightServer(WeightSettings settings, std::shared_ptr<Scheduler> timer);

  void serve(http::Request request,
             std::shared_ptr<http::Responder> responder) override;
  /// Serves GET /debug/loads: load counts by version and the number of requests
  /// rejected by the rate limit.
  std::optional<http::Response> debug(const http::Request &request) override;

private:
  WeightSettings Settings;
  std::shared_ptr<Scheduler> Timer;
  std::mutex Guard;
  core::Millis NextSlot;
  std::map<std::string, std::uint64_t> Loads;
  std::uint64_t Refused = 0;
};

} // namespace cowslipridge::standins
