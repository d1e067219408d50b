#pragma once

#include "cowslipridge/limits/Admission.hpp"

#include <deque>
#include <memory>
#include <string>
#include <variant>

namespace cowslipridge::bench::overload {

/// Baseline: first come, first served, with a fixed number of running and of
/// waiting requests; refusals say to come back after one second.
class FixedGate {
public:
  FixedGate(unsigned limit, unsigned maxQueue)
      : Limit(limit), MaxQueue(maxQueue) {}

  limits::AdmissionActions arrive(const limits::Arrival &arrival);
  limits::AdmissionActions finish();
  [[nodiscard]] std::size_t load() const { return Running + Waiting.size(); }

private:
  unsigned Limit;
  unsigned MaxQueue;
  unsigned Running = 0;
  std::deque<core::RequestId> Waiting;
};

/// The project's admission.
struct TestedGate {
  std::shared_ptr<limits::Admission> Tested;
};

using Gate = std::variant<FixedGate, TestedGate>;

enum class Policy {
  Fifo,            ///< no bound on the queue
  FixedLimit,      ///< a limit that was guessed at twice the capacity
  FixedAtCapacity, ///< a limit that was measured and set right
  Admission,
};
std::string nameOf(Policy policy);
Gate makeGate(Policy policy, std::uint64_t seed);

limits::AdmissionActions arrive(Gate &gate, const limits::Arrival &arrival,
                                core::Millis now);
limits::AdmissionActions finish(Gate &gate, const core::RequestId &request,
                                core::Millis elapsed, core::Millis now);
limits::AdmissionActions cancel(Gate &gate, const core::RequestId &request,
                                core::Millis now);
limits::AdmissionActions tick(Gate &gate, core::Millis now);
/// What an entry compares runners by.
double loadOf(const Gate &gate, core::Millis now);

} // namespace cowslipridge::bench::overload
