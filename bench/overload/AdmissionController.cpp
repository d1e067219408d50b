#include "overload/AdmissionController.hpp"

#include "cowslipridge/core/Visit.hpp"

namespace cowslipridge::bench::overload {

namespace {

using limits::AdmissionActions;

constexpr unsigned MaxConcurrency = 32;
constexpr unsigned FixedLimit = 16;
constexpr unsigned CapacityLimit = 8;
constexpr unsigned FixedQueue = 64;
constexpr unsigned UnboundedQueue = 1'000'000;
constexpr core::Millis FixedRetryAfter{1'000};

} // namespace

AdmissionActions FixedLimitController::arrive(const limits::Arrival &arrival) {
  if (Running < Limit) {
    ++Running;
    return {limits::StartRequest{arrival.Request}};
  }
  if (Queue.size() >= MaxQueue)
    return {limits::RefuseRequest{arrival.Request, core::Errc::Overloaded,
                                  FixedRetryAfter}};
  Queue.push_back(arrival.Request);
  return {limits::QueueRequest{arrival.Request}};
}

AdmissionActions FixedLimitController::finish() {
  --Running;
  if (Queue.empty())
    return {};
  const core::RequestId next = Queue.front();
  Queue.pop_front();
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

AdmissionController makeController(Policy policy, std::uint64_t seed) {
  switch (policy) {
  case Policy::Fifo:
    return FixedLimitController(MaxConcurrency, UnboundedQueue);
  case Policy::FixedLimit:
    return FixedLimitController(FixedLimit, FixedQueue);
  case Policy::FixedAtCapacity:
    return FixedLimitController(CapacityLimit, FixedQueue);
  case Policy::Admission:
    break;
  }
  return ProductionController{std::make_shared<limits::Admission>(
      limits::AdmissionSettings{MaxConcurrency, 1, FixedQueue}, seed)};
}

AdmissionActions arrive(AdmissionController &controller,
                        const limits::Arrival &arrival, core::Millis now) {
  return std::visit(core::Overloaded{[&](FixedLimitController &own) {
                                       return own.arrive(arrival);
                                     },
                                     [&](ProductionController &own) {
                                       return own.Production->arrive(arrival,
                                                                     now);
                                     }},
                    controller);
}

AdmissionActions finish(AdmissionController &controller,
                        const core::RequestId &request, core::Millis elapsed,
                        core::Millis now) {
  return std::visit(
      core::Overloaded{[&](FixedLimitController &own) { return own.finish(); },
                       [&](ProductionController &own) {
                         return own.Production->finish(request, elapsed, false,
                                                       now);
                       }},
      controller);
}

AdmissionActions cancel(AdmissionController &controller,
                        const core::RequestId &request, core::Millis now) {
  return std::visit(core::Overloaded{[](FixedLimitController &) {
                                       return AdmissionActions();
                                     },
                                     [&](ProductionController &own) {
                                       return own.Production->cancel(request,
                                                                     now);
                                     }},
                    controller);
}

AdmissionActions tick(AdmissionController &controller, core::Millis now) {
  return std::visit(
      core::Overloaded{
          [](FixedLimitController &) { return AdmissionActions(); },
          [&](ProductionController &own) { return own.Production->tick(now); }},
      controller);
}

double loadOf(const AdmissionController &controller, core::Millis now) {
  return std::visit(
      core::Overloaded{[](const FixedLimitController &own) {
                         return static_cast<double>(own.load());
                       },
                       [&](const ProductionController &own) {
                         const auto &admission = *own.Production;
                         return static_cast<double>(
                                    admission.predictedWait(now).count()) +
                                admission.inFlight() + admission.queued();
                       }},
      controller);
}

} // namespace cowslipridge::bench::overload
