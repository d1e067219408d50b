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
  core::Millis Delay;      ///< from submission to publication of a grade
  double MissingShare = 0; ///< share of grades never published, 0 to 1
  std::uint64_t Seed = 1;
};

/// Publishes grades as CloudEvents, with a delay and with some grades missing.
/// Runners submit grades to POST /submissions
/// (`{"subject", "request", "score"}`).
class RatingService final : public StandIn,
                            public std::enable_shared_from_this<RatingService> {
public:
  RatingService(RatingSettings settings, std::shared_ptr<Scheduler> timer);

  void serve(http::Request request,
             std::shared_ptr<http::Responder> responder) override;
  /// Serves GET /debug/grades: counts of submitted, published and omitted
  /// grades.
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
  std::uint64_t Omitted = 0;
};

} // namespace cowslipridge::standins
