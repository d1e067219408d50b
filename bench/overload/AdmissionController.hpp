#pragma once

#include "cowslipridge/limits/Admission.hpp"

#include <deque>
#include <memory>
#include <string>
#include <variant>

namespace cowslipridge::bench::overload {

/// Baseline: first come, first served, with fixed limits on running and on
/// queued requests. Rejections carry a retry delay of one second.
class FixedLimitController {
public:
  FixedLimitController(unsigned limit, unsigned maxQueue)
      : Limit(limit), MaxQueue(maxQueue) {}

  limits::AdmissionActions arrive(const limits::Arrival &arrival);
  limits::AdmissionActions finish();
  [[nodiscard]] std::size_t load() const { return Running + Queue.size(); }

private:
  unsigned Limit;
  unsigned MaxQueue;
  unsigned Running = 0;
  std::deque<core::RequestId> Queue;
};

/// Admission control as the daemons use it.
struct ProductionController {
  std::shared_ptr<limits::Admission> Production;
};

using AdmissionController =
    std::variant<FixedLimitController, ProductionController>;

enum class Policy {
  Fifo,            ///< no bound on the queue
  FixedLimit,      ///< a fixed limit of twice the capacity
  FixedAtCapacity, ///< a fixed limit equal to the capacity
  Admission,       ///< adaptive admission, as the daemons use it
};
std::string nameOf(Policy policy);
AdmissionController makeController(Policy policy, std::uint64_t seed);

limits::AdmissionActions arrive(AdmissionController &controller,
                                const limits::Arrival &arrival,
                                core::Millis now);
limits::AdmissionActions finish(AdmissionController &controller,
                                const core::RequestId &request,
                                core::Millis elapsed, core::Millis now);
limits::AdmissionActions cancel(AdmissionController &controller,
                                const core::RequestId &request,
                                core::Millis now);
limits::AdmissionActions tick(AdmissionController &controller,
                              core::Millis now);
/// Returns the load by which entries compare runners.
double loadOf(const AdmissionController &controller, core::Millis now);

} // namespace cowslipridge::bench::overload
