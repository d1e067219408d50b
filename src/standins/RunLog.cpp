#include "standins/RunLog.hpp"

#include <nlohmann/json.hpp>

#include <string_view>

namespace cowslipridge::standins {

namespace {

using nlohmann::json;

std::string_view toString(RunState state) {
  switch (state) {
  case RunState::Running:
    return "running";
  case RunState::Finished:
    return "finished";
  case RunState::Cancelled:
    break;
  }
  return "cancelled";
}

} // namespace

void RunLog::begin(const std::string &request, const std::string &key,
                   const std::string &model) {
  const std::lock_guard lock(Guard);
  Run &run = ByRequest[request];
  ++run.Count;
  run.State = RunState::Running;
  run.Model = model;
  if (!key.empty())
    ++ByKey[key];
  ++Total;
}

void RunLog::end(const std::string &request, RunState state) {
  const std::lock_guard lock(Guard);
  ByRequest[request].State = state;
}

http::Response RunLog::report() const {
  const std::lock_guard lock(Guard);
  json runs = json::array();
  for (const auto &[request, run] : ByRequest)
    runs.push_back({{"request", request},
                    {"count", run.Count},
                    {"state", toString(run.State)},
                    {"model", run.Model}});
  const json body = {{"total", Total}, {"runs", runs}, {"by_key", ByKey}};
  return http::makeJson(
      200, body.dump(-1, ' ', false, json::error_handler_t::replace));
}

} // namespace cowslipridge::standins
