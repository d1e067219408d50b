#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Random.hpp"
#include "standins/Scheduler.hpp"
#include "standins/StandIn.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cowslipridge::standins {

struct RatingSettings {
  core::Millis Delay;      ///< from the answer to its grade
  double MissingShare = 0; ///< 0..1: grades that never come
  std::uint64_t Seed = 1;
};

/// Publishes grades as CloudEvents, late and with gaps. Runners send theirs to
/// POST /submissions (`{"subject", "request", "score"}`).
class RatingService final : public StandIn,
                            public std::enable_shared_from_this<RatingService> {
public:
  RatingService(RatingSettings settings, std::shared_ptr<Scheduler> timer);

  void serve(http::Request request,
             std::shared_ptr<http::Responder> responder) override;
  /// GET /debug/grades counts grades submitted, published and left out.
  std::optional<http::Response> debug(const http::Request &request) override;

private:
  struct Grade {
    std::uint64_t Cursor = 0;
    std::string Request;
    double Score = 0;
  };

  http::Response submit(const std::string &body);
  void publish(const std::string &subject, Grade grade);
  [[nodiscard]] http::Response list(const std::string &subject,
                                    std::uint64_t after) const;

  RatingSettings Settings;
  std::shared_ptr<Scheduler> Timer;
  std::mutex Guard;
  core::Random Random;
  std::map<std::string, std::vector<Grade>> Published;
  std::uint64_t LastCursor = 0;
  std::uint64_t Submitted = 0;
  std::uint64_t LeftOut = 0;
};

} // namespace cowslipridge::standins
