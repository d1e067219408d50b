#include "overload/AdmissionController.hpp"

#include "cowslipridge/core/Visit.hpp"

namespace cowslipridge::bench::overload {

namespace {

using limits::AdmissionActions;

constexpr unsigned MaxConcurrency = 32;
constexpr unsigned FixedLimit = 16;
constexpr unsigned CapacityLimit = 8;
constexpr unsigned FixedQueue = 64;
constexpr unsigned NoBound = 1'000'000;
constexpr core::Millis FixedRetryAfter{1'000};

} // namespace

AdmissionActions FixedGate::arrive(const limits::Arrival &arrival) {
  if (Running < Limit) {
    ++Running;
    return {limits::StartRequest{arrival.Request}};
  }
  if (Waiting.size() >= MaxQueue)
    return {limits::RefuseRequest{arrival.Request, core::Errc::Overloaded,
                                  FixedRetryAfter}};
  Waiting.push_back(arrival.Request);
  return {limits::QueueRequest{arrival.Request}};
}

AdmissionActions FixedGate::finish() {
  --Running;
  if (Waiting.empty())
    return {};
  const core::RequestId next = Waiting.front();
  Waiting.pop_front();
  ++Running;
  return {limits::StartRequest{next}};
}

std::string nameOf(Policy policy) {
  switch (policy) {
  case Policy::Fifo:
    return "fifo";
  case Policy::FixedLimit:
    return "fixed-limit";
  case Policy::FixedAtCapacity:
    return "fixed-at-capacity";
  case Policy::Admission:
    break;
  }
  return "admission";
}

Gate makeGate(Policy policy, std::uint64_t seed) {
  switch (policy) {
  case Policy::Fifo:
    return FixedGate(MaxConcurrency, NoBound);
  case Policy::FixedLimit:
    return FixedGate(FixedLimit, FixedQueue);
  case Policy::FixedAtCapacity:
    return FixedGate(CapacityLimit, FixedQueue);
  case Policy::Admission:
    break;
  }
  return TestedGate{std::make_shared<limits::Admission>(
      limits::AdmissionSettings{MaxConcurrency, 1, FixedQueue}, seed)};
}

AdmissionActions arrive(Gate &gate, const limits::Arrival &arrival,
                        core::Millis now) {
  return std::visit(
      core::Overloaded{
          [&](FixedGate &own) { return own.arrive(arrival); },
          [&](TestedGate &own) { return own.Tested->arrive(arrival, now); }},
      gate);
}

AdmissionActions finish(Gate &gate, const core::RequestId &request,
                        core::Millis elapsed, core::Millis now) {
  return std::visit(
      core::Overloaded{[&](FixedGate &own) { return own.finish(); },
                       [&](TestedGate &own) {
                         return own.Tested->finish(request, elapsed, false,
                                                   now);
                       }},
      gate);
}

AdmissionActions cancel(Gate &gate, const core::RequestId &request,
                        core::Millis now) {
  return std::visit(
      core::Overloaded{
          [](FixedGate &) { return AdmissionActions(); },
          [&](TestedGate &own) { return own.Tested->cancel(request, now); }},
      gate);
}

AdmissionActions tick(Gate &gate, core::Millis now) {
  return std::visit(
      core::Overloaded{[](FixedGate &) { return AdmissionActions(); },
                       [&](TestedGate &own) { return own.Tested->tick(now); }},
      gate);
}

double loadOf(const Gate &gate, core::Millis now) {
  return std::visit(
      core::Overloaded{
          [](const FixedGate &own) { return static_cast<double>(own.load()); },
          [&](const TestedGate &own) {
            const auto &tested = *own.Tested;
            return static_cast<double>(tested.predictedWait(now).count()) +
                   tested.inFlight() + tested.queued();
          }},
      gate);
}

} // namespace cowslipridge::bench::overload
