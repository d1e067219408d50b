#include "cowslipridge/platform/Documents.hpp"

#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/platform/internal/JsonReader.hpp"

#include <algorithm>
#include <charconv>

namespace cowslipridge::platform {

namespace {

using internal::flagAt;
using internal::Json;
using internal::listAt;
using internal::numberAt;
using internal::parseJson;
using internal::textAt;
using internal::wholeAt;

constexpr std::int64_t MillisPerSecond = 1000;
constexpr std::int64_t DefaultTimeoutMs = 30'000;

core::Millis millisAt(const Json &object, const char *key,
                      std::int64_t fallback) {
  const auto value = numberAt(object, key);
  return core::Millis(value ? static_cast<std::int64_t>(*value) : fallback);
}

std::optional<catalogue::RouteKind> kindOf(const Json &route) {
  const auto kind = textAt(route, "routeKind");
  if (kind == "idempotent")
    return catalogue::RouteKind::Idempotent;
  if (kind == "non_idempotent")
    return catalogue::RouteKind::NonIdempotent;
  if (kind != "streaming")
    return std::nullopt;
  return flagAt(route, "streamResumption")
             ? catalogue::RouteKind::ResumableStream
             : catalogue::RouteKind::Stream;
}

std::vector<catalogue::WeightedService> servicesOf(const Json &route) {
  std::vector<catalogue::WeightedService> services;
  for (const Json &it : listAt(route, "trafficSplit")) {
    const auto service = textAt(it, "service");
    const auto weight = wholeAt(it, "weight");
    if (service && weight && *weight > 0)
      services.push_back(
          {core::ServiceId(*service), static_cast<unsigned>(*weight)});
  }
  const auto service = textAt(route, "service");
  if (services.empty() && service)
    services.push_back({core::ServiceId(*service), 1});
  return services;
}

std::optional<catalogue::Route> parseRoute(const Json &json) {
  const auto kind = kindOf(json);
  const auto host = textAt(json, "host");
  const auto prefix = textAt(json, "pathPrefix");
  auto services = servicesOf(json);
  if (!kind || !host || !prefix || services.empty())
    return std::nullopt;
  catalogue::Route route;
  route.Name = textAt(json, "name").value_or("");
  route.Host = *host;
  route.PathPrefix = *prefix;
  route.Kind = *kind;
  route.Timeout = millisAt(json, "timeoutMs", DefaultTimeoutMs);
  route.TargetLatency =
      millisAt(json, "targetLatencyMs", route.Timeout.count());
  route.TargetGap = millisAt(json, "targetGapMs", 0);
  route.Priority = static_cast<int>(wholeAt(json, "priority").value_or(0));
  route.MaxAttempts = static_cast<unsigned>(
      std::max<std::int64_t>(1, wholeAt(json, "maxAttempts").value_or(1)));
  route.Public = flagAt(json, "public");
  // "sizes" are names of models, from the smallest to the largest.
  for (const Json &it : listAt(json, "sizes")) {
    if (it.is_string())
      route.Models.push_back(it.get<std::string>());
  }
  route.Services = std::move(services);
  return route;
}

catalogue::Engine parseEngine(const Json &json) {
  catalogue::Engine engine;
  engine.Slots = static_cast<unsigned>(
      std::max<std::int64_t>(1, wholeAt(json, "slots").value_or(1)));
  engine.CacheTokens = static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, wholeAt(json, "kvCacheTokens").value_or(0)));
  engine.TokensPerEvent = static_cast<unsigned>(
      std::max<std::int64_t>(1, wholeAt(json, "stride").value_or(1)));
  for (const Json &it : listAt(json, "models")) {
    if (const auto name = textAt(it, "name"))
      engine.Models.push_back({*name, numberAt(it, "cost").value_or(0)});
  }
  return engine;
}

std::optional<catalogue::Service> parseService(const Json &json) {
  const auto name = textAt(json, "name");
  if (!name)
    return std::nullopt;
  catalogue::Service service;
  service.Name = core::ServiceId(*name);
  service.ConnectionLimit = static_cast<unsigned>(
      std::max<std::int64_t>(0, wholeAt(json, "connectionLimit").value_or(0)));
  const auto engine = json.find("inferenceEngine");
  if (engine != json.end() && engine->is_object())
    service.Inference = parseEngine(*engine);
  return service;
}

std::optional<catalogue::Organisation> parseOrganisation(const Json &json) {
  const auto name = textAt(json, "name");
  if (!name)
    return std::nullopt;
  catalogue::Organisation organisation;
  organisation.Name = core::OrganisationId(*name);
  for (const Json &it : listAt(json, "apiKeys")) {
    if (it.is_string())
      organisation.ApiKeys.push_back(it.get<std::string>());
  }
  if (const auto priority = wholeAt(json, "priority"))
    organisation.Priority = static_cast<int>(*priority);
  return organisation;
}

catalogue::CallerLimits parseLimits(const Json &json) {
  catalogue::CallerLimits limits;
  limits.MaxHeaderBytes = static_cast<std::size_t>(
      wholeAt(json, "maxHeaderBytes")
          .value_or(static_cast<std::int64_t>(limits.MaxHeaderBytes)));
  limits.MaxBodyBytes = static_cast<std::size_t>(
      wholeAt(json, "maxBodyBytes")
          .value_or(static_cast<std::int64_t>(limits.MaxBodyBytes)));
  limits.HeaderTimeout =
      millisAt(json, "headerTimeoutMs", limits.HeaderTimeout.count());
  limits.IdleTimeout =
      millisAt(json, "idleTimeoutMs", limits.IdleTimeout.count());
  return limits;
}

/// Parses the items of a list and counts those that can't be read.
template <typename Item>
std::vector<Item> parseAll(const Json &document, const char *key,
                           std::optional<Item> (*parse)(const Json &),
                           std::string &problems) {
  std::vector<Item> items;
  std::size_t bad = 0;
  for (const Json &it : listAt(document, key)) {
    if (auto item = parse(it))
      items.push_back(std::move(*item));
    else
      ++bad;
  }
  if (bad != 0)
    problems += std::to_string(bad) + " unreadable in " + key + "; ";
  return items;
}

/// Splits `10.128.0.9:8080`; false when it is no such text.
bool splitAddress(const std::string &text, membership::BackendServer &server) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0)
    return false;
  unsigned port = 0;
  const char *end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end || port == 0 ||
      port > 65'535)
    return false;
  server.Host = text.substr(0, colon);
  server.Port = static_cast<std::uint16_t>(port);
  return true;
}

constexpr std::string_view toText(rollout::RolloutPhase verdict) {
  switch (verdict) {
  case rollout::RolloutPhase::Completed:
    return "completed";
  case rollout::RolloutPhase::Reverted:
    return "reverted";
  case rollout::RolloutPhase::InProgress:
    break;
  }
  return "in_progress";
}

std::optional<rollout::RolloutPhase> phaseOf(const std::string &text) {
  using enum rollout::RolloutPhase;
  for (const auto verdict : {InProgress, Completed, Reverted}) {
    if (toText(verdict) == text)
      return verdict;
  }
  return std::nullopt;
}

} // namespace

core::Result<catalogue::Catalogue> parseCatalogue(const std::string &text,
                                                  std::string &problems) {
  const Json json = parseJson(text);
  const auto version = wholeAt(json, "version");
  if (!version || *version < 0)
    return core::Errc::Malformed;
  catalogue::Catalogue parsed;
  parsed.Version = core::Generation(static_cast<std::uint64_t>(*version));
  parsed.Routes = parseAll(json, "routes", parseRoute, problems);
  parsed.Services = parseAll(json, "services", parseService, problems);
  if (json.contains("tenants"))
    parsed.Organisations =
        parseAll(json, "tenants", parseOrganisation, problems);
  if (const auto it = json.find("limits"); it != json.end())
    parsed.Limits = parseLimits(*it);
  return parsed;
}

core::Result<membership::BackendServer>
parseBackendServer(std::string_view id, const std::string &text) {
  const Json json = parseJson(text);
  const auto service = textAt(json, "service");
  const auto address = textAt(json, "address");
  const auto state = textAt(json, "state");
  const auto domain = textAt(json, "zone");
  const auto version = textAt(json, "version");
  const auto slots = wholeAt(json, "slots");
  membership::BackendServer server;
  if (!service || !address || !splitAddress(*address, server))
    return core::Errc::Malformed;
  if (!domain || !version || !slots || *slots < 1)
    return core::Errc::Malformed;
  if (state != "available" && state != "draining")
    return core::Errc::Malformed;
  server.Id = core::RunnerId(std::string(id));
  server.Service = core::ServiceId(*service);
  server.Domain = core::FailureDomainId(*domain);
  server.Version = core::VersionId(*version);
  server.Slots = static_cast<unsigned>(*slots);
  server.Draining = state == "draining";
  server.StartedAt = core::Millis(wholeAt(json, "born").value_or(0));
  return server;
}

core::Result<rollout::RolloutCommand>
parseRolloutOrder(const std::string &text) {
  const Json json = parseJson(text);
  const auto service = textAt(json, "service");
  const auto target = textAt(json, "target");
  const auto seconds = numberAt(json, "durationS");
  if (!service || !target || !seconds || *seconds <= 0)
    return core::Errc::Malformed;
  return rollout::RolloutCommand{
      core::ServiceId(*service), core::VersionId(*target),
      core::Millis(static_cast<std::int64_t>(*seconds * MillisPerSecond))};
}

core::Result<rollout::RolloutStatus>
parseRolloutStatus(std::string_view service, const std::string &text) {
  const Json json = parseJson(text);
  const auto target = textAt(json, "target");
  const auto verdict = phaseOf(textAt(json, "state").value_or(""));
  if (!target || !verdict)
    return core::Errc::Malformed;
  return rollout::RolloutStatus{core::ServiceId(std::string(service)),
                                core::VersionId(*target), *verdict};
}

std::string writeRolloutStatus(const rollout::RolloutStatus &status) {
  return Json{{"service", status.Service.str()},
              {"target", status.Target.str()},
              {"state", toText(status.Phase)}}
      .dump();
}

} // namespace cowslipridge::platform
