#include "standins/PlainService.hpp"

#include <nlohmann/json.hpp>

#include <cmath>
#include <utility>

namespace cowslipridge::standins {

namespace {

std::string headerOf(const http::Request &request, std::string_view name) {
  return http::findHeader(request.Fields, name).value_or("");
}

} // namespace

PlainService::PlainService(core::Millis delay, std::shared_ptr<Scheduler> timer)
    : Delay(delay), Timer(std::move(timer)), Runs(std::make_shared<RunLog>()) {}

void PlainService::serve(http::Request request,
                         std::shared_ptr<http::Responder> responder) {
  const std::string id = headerOf(request, "X-Request-Id");
  const std::string key = headerOf(request, "Idempotency-Key");
  Faults faults;
  {
    const std::lock_guard lock(Guard);
    faults = Active;
  }
  Runs->begin(id, key, "");
  const nlohmann::json body = {{"request", faults.WrongId ? "other-" + id : id},
                               {"key", key},
                               {"method", request.Method},
                               {"target", request.Target},
                               {"body", request.Body}};
  const auto delay = core::Millis(
      std::llround(static_cast<double>(Delay.count()) * faults.SlowFactor));
  Timer->after(delay,
               [runs = Runs, id, responder,
                text = body.dump(-1, ' ', false,
                                 nlohmann::json::error_handler_t::replace)] {
                 runs->end(id, RunState::Finished);
                 responder->respond(http::makeJson(200, text));
               });
}

std::optional<http::Response>
PlainService::debug(const http::Request &request) {
  if (request.path() != "/debug/runs")
    return std::nullopt;
  return Runs->report();
}

void PlainService::setFaults(const Faults &faults) {
  const std::lock_guard lock(Guard);
  Active = faults;
}

} // namespace cowslipridge::standins
