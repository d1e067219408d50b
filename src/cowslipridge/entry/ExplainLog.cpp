#include "cowslipridge/entry/ExplainLog.hpp"

#include <nlohmann/json.hpp>

namespace cowslipridge::entry {

namespace {

/// Maximum number of steps kept for one request. Retries with the same
/// idempotency key add to the same record.
constexpr std::size_t MaxSteps = 64;

} // namespace

void ExplainLog::begin(const Explanation &explanation) {
  const std::lock_guard lock(Guard);
  const core::RequestId request = explanation.Request;
  if (!Items.try_emplace(request, explanation).second)
    return;
  Order.push_back(request);
  if (Order.size() <= Capacity)
    return;
  Items.erase(Order.front());
  Order.pop_front();
}

void ExplainLog::add(const core::RequestId &request, ExplainStep step) {
  const std::lock_guard lock(Guard);
  const auto it = Items.find(request);
  if (it != Items.end() && it->second.Steps.size() < MaxSteps)
    it->second.Steps.push_back(std::move(step));
}

std::optional<Explanation>
ExplainLog::find(const core::RequestId &request) const {
  const std::lock_guard lock(Guard);
  const auto it = Items.find(request);
  return it == Items.end() ? std::nullopt : std::optional(it->second);
}

std::string toJson(const Explanation &explanation) {
  nlohmann::json steps = nlohmann::json::array();
  for (const ExplainStep &it : explanation.Steps)
    steps.push_back({{"at_ms", it.At.count()}, {"text", it.Text}});
  const nlohmann::json object = {
      {"request", explanation.Request.str()},
      {"organisation", explanation.Organisation.str()},
      {"service", explanation.Service.str()},
      {"generation", explanation.Configuration.value()},
      {"steps", steps}};
  return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace cowslipridge::entry
