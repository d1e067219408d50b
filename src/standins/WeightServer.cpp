#include "standins/WeightServer.hpp"

#include "standins/RequestParts.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace cowslipridge::standins {

namespace {

constexpr std::string_view WeightsPrefix = "/weights/";
constexpr core::Millis Minute{60'000};

} // namespace

WeightServer::WeightServer(WeightSettings settings,
                           std::shared_ptr<Scheduler> timer)
    : Settings(settings), Timer(std::move(timer)) {}

void WeightServer::serve(http::Request request,
                         std::shared_ptr<http::Responder> responder) {
  const std::string path = request.path();
  if (!path.starts_with(WeightsPrefix)) {
    responder->respond(http::makeJson(404, "\"no such page\""));
    return;
  }
  const std::string version = decodePath(path.substr(WeightsPrefix.size()));
  const core::Millis now = Timer->now();
  std::unique_lock lock(Guard);
  if (Settings.LoadsPerMinute != 0 && now < NextSlot) {
    ++Refused;
    const core::Millis remaining = NextSlot - now;
    http::Response response =
        http::makeJson(429, "\"load rate limit exceeded\"");
    response.Fields.push_back(
        {"Retry-After", std::to_string((remaining.count() + 999) / 1000)});
    responder->respond(std::move(response));
    return;
  }
  if (Settings.LoadsPerMinute != 0)
    NextSlot = now + Minute / Settings.LoadsPerMinute;
  ++Loads[version];
  lock.unlock();
  const nlohmann::json manifest = {{"version", version}, {"files", 1}};
  Timer->after(Settings.LoadTime, [responder, text = manifest.dump()] {
    responder->respond(http::makeJson(200, text));
  });
}

std::optional<http::Response>
WeightServer::debug(const http::Request &request) {
  if (request.path() != "/debug/loads")
    return std::nullopt;
  const std::lock_guard lock(Guard);
  const nlohmann::json counts = {{"loads", Loads}, {"refused", Refused}};
  return http::makeJson(200, counts.dump());
}

} // namespace cowslipridge::standins
