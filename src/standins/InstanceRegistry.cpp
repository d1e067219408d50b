#include "standins/InstanceRegistry.hpp"

#include "standins/RequestParts.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace cowslipridge::standins {

namespace {

using nlohmann::json;

constexpr std::string_view DeregisterPrefix = "/v1/agent/service/deregister/";
constexpr std::string_view HealthPrefix = "/v1/health/service/";

/// Returns the health entries of all registrations under `service`.
json listHealth(const std::map<std::string, std::string> &registrations,
                const std::string &service) {
  json entries = json::array();
  for (const auto &[id, text] : registrations) {
    const json registration = json::parse(text);
    if (registration.value("Name", std::string()) != service)
      continue;
    json entry = registration;
    entry["Service"] = service;
    entries.push_back({{"Node", {{"Node", "standin"}}},
                       {"Service", std::move(entry)},
                       {"Checks", json::array({{{"Status", "passing"}}})}});
  }
  return entries;
}

} // namespace

InstanceRegistry::InstanceRegistry(core::Millis lag,
                                   std::shared_ptr<Scheduler> timer)
    : Timer(std::move(timer)), Lag(lag) {}

void InstanceRegistry::serve(http::Request request,
                             std::shared_ptr<http::Responder> responder) {
  const std::string path = request.path();
  const std::lock_guard lock(Guard);
  if (path == "/v1/agent/service/register") {
    responder->respond(registerInstance(request.Body));
  } else if (path.starts_with(DeregisterPrefix)) {
    enqueueChange(decodePath(path.substr(DeregisterPrefix.size())),
                  std::nullopt);
    responder->respond({});
  } else if (path.starts_with(HealthPrefix)) {
    applyDueChanges();
    const std::string service = decodePath(path.substr(HealthPrefix.size()));
    responder->respond(
        http::makeJson(200, listHealth(Visible, service).dump()));
  } else {
    responder->respond(http::makeJson(404, "\"no such page\""));
  }
}

http::Response InstanceRegistry::registerInstance(const std::string &body) {
  const json registration = json::parse(body, nullptr, false);
  if (!registration.is_object() || !registration.contains("Name") ||
      !registration["Name"].is_string())
    return http::makeJson(400, "\"registration needs a string Name\"");
  const auto id = registration.value("ID", registration.value("Name", ""));
  enqueueChange(id, registration.dump());
  return {};
}

void InstanceRegistry::enqueueChange(std::string id,
                                     std::optional<std::string> registration) {
  if (registration)
    Registered[id] = *registration;
  else
    Registered.erase(id);
  Pending.push_back({Timer->now(), std::move(id), std::move(registration)});
}

void InstanceRegistry::applyDueChanges() {
  const core::Millis due = Timer->now() - Lag;
  while (!Pending.empty() && Pending.front().MadeAt <= due) {
    const Change &change = Pending.front();
    if (change.Registration)
      Visible[change.Id] = *change.Registration;
    else
      Visible.erase(change.Id);
    Pending.pop_front();
  }
}

std::optional<http::Response>
InstanceRegistry::debug(const http::Request &request) {
  const std::string path = request.path();
  const std::lock_guard lock(Guard);
  if (path == "/debug/lag" && request.Method == "PUT")
    return setLag(request.Body);
  if (path == "/debug/instances")
    return http::makeJson(200, listHealth(Registered, "cowslipridge").dump());
  return std::nullopt;
}

http::Response InstanceRegistry::setLag(const std::string &body) {
  const json settings = json::parse(body, nullptr, false);
  if (!settings.is_object() || !settings.contains("ms") ||
      !settings["ms"].is_number_unsigned())
    return http::makeProblem(
        {"malformed", "Lag needs an unsigned ms field", 400, ""});
  Lag = core::Millis(settings["ms"].get<std::int64_t>());
  return http::makeJson(200, body);
}

} // namespace cowslipridge::standins
