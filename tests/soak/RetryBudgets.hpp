#pragma once

#include "soak/Promises.hpp"

#include <vector>

namespace cowslipridge::soak {

/// The window of a service in which repeats came closest to their limit, or
/// exceeded it most.
struct FullestWindow {
  std::string Service;
  core::Millis At; ///< its begin
  std::size_t Requests = 0;
  std::size_t Repeats = 0;
  double Allowed = 0;

  [[nodiscard]] double share() const {
    return static_cast<double>(Repeats) / Allowed;
  }
};

/// Returns the fullest window of each service that got requests. All requests
/// with one id are one request.
std::vector<FullestWindow> fullestWindows(const History &history,
                                          const PromiseLimits &limits);

/// Returns a violation for each service that got more repeats in a window than
/// its budget allows.
std::vector<Violation> findExceededBudgets(const History &history,
                                           const PromiseLimits &limits);

} // namespace cowslipridge::soak
