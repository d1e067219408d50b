#include "cowslipridge/platform/Documents.hpp"

#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/platform/internal/JsonReader.hpp"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <charconv>

namespace cowslipridge::platform {

namespace {

using internal::arrayAt;
using internal::boolAt;
using internal::integerAt;
using internal::Json;
using internal::numberAt;
using internal::parseJson;
using internal::stringAt;

constexpr std::int64_t MillisPerSecond = 1000;
constexpr std::int64_t DefaultTimeoutMs = 30'000;
/// Longest duration that is taken from a document: longer ones would overflow
/// when they are added to a time.
constexpr std::int64_t MaxDurationMs = 86'400'000;

/// Latest start of a runner, in Unix time: later ones are no time of a clock.
constexpr std::int64_t MaxUnixMs = 32'503'680'000'000;
constexpr std::int64_t MaxSlots = 1'000'000;
constexpr std::int64_t MaxWeight = 1'000'000;

core::Millis toMillis(double count) {
  return core::Millis(static_cast<std::int64_t>(
      std::clamp(count, 0.0, static_cast<double>(MaxDurationMs))));
}

core::Millis millisAt(const Json &object, const char *key,
                      std::int64_t fallback) {
  const auto value = numberAt(object, key);
  return value ? toMillis(*value) : core::Millis(fallback);
}

std::optional<catalogue::RouteKind> parseRouteKind(const Json &route) {
  const auto kind = stringAt(route, "routeKind");
  if (kind == "idempotent")
    return catalogue::RouteKind::Idempotent;
  if (kind == "non_idempotent")
    return catalogue::RouteKind::NonIdempotent;
  if (kind != "streaming")
    return std::nullopt;
  return boolAt(route, "streamResumption")
             ? catalogue::RouteKind::ResumableStream
             : catalogue::RouteKind::Stream;
}

std::vector<std::string> parseRegions(const Json &object) {
  std::vector<std::string> regions;
  for (const Json &it : arrayAt(object, "allowedRegions")) {
    if (it.is_string())
      regions.push_back(it.get<std::string>());
  }
  return regions;
}

std::vector<catalogue::WeightedService> parseRouteServices(const Json &route) {
  std::vector<catalogue::WeightedService> services;
  for (const Json &it : arrayAt(route, "trafficSplit")) {
    const auto service = stringAt(it, "service");
    const auto weight = integerAt(it, "weight");
    if (service && weight && *weight > 0 && *weight <= MaxWeight)
      services.push_back(
          {core::ServiceId(*service), static_cast<unsigned>(*weight)});
  }
  const auto service = stringAt(route, "service");
  if (services.empty() && service)
    services.push_back({core::ServiceId(*service), 1});
  return services;
}

std::optional<catalogue::Route> parseRoute(const Json &json) {
  const auto kind = parseRouteKind(json);
  const auto host = stringAt(json, "host");
  const auto prefix = stringAt(json, "pathPrefix");
  auto services = parseRouteServices(json);
  if (!kind || !host || !prefix || services.empty())
    return std::nullopt;
  catalogue::Route route;
  route.Name = stringAt(json, "name").value_or("");
  route.Host = *host;
  route.PathPrefix = *prefix;
  route.Kind = *kind;
  route.Timeout = millisAt(json, "timeoutMs", DefaultTimeoutMs);
  route.TargetLatency =
      millisAt(json, "targetLatencyMs", route.Timeout.count());
  route.TargetGap = millisAt(json, "targetGapMs", 0);
  route.Priority = static_cast<int>(integerAt(json, "priority").value_or(0));
  route.MaxAttempts = static_cast<unsigned>(
      std::max<std::int64_t>(1, integerAt(json, "maxAttempts").value_or(1)));
  route.Public = boolAt(json, "public");
  // "sizes" lists the names of models, from the smallest to the largest.
  for (const Json &it : arrayAt(json, "sizes")) {
    if (it.is_string())
      route.Models.push_back(it.get<std::string>());
  }
  route.HomeRegions = parseRegions(json);
  route.Services = std::move(services);
  return route;
}

catalogue::Engine parseEngine(const Json &json) {
  catalogue::Engine engine;
  engine.Slots = static_cast<unsigned>(
      std::max<std::int64_t>(1, integerAt(json, "slots").value_or(1)));
  engine.CacheTokens = static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, integerAt(json, "kvCacheTokens").value_or(0)));
  engine.TokensPerEvent = static_cast<unsigned>(
      std::max<std::int64_t>(1, integerAt(json, "stride").value_or(1)));
  engine.CacheBytesPerToken = static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, integerAt(json, "kvBytes").value_or(0)));
  engine.TransferMbps = std::max(0.0, numberAt(json, "linkMbps").value_or(0));
  for (const Json &it : arrayAt(json, "models")) {
    if (const auto name = stringAt(it, "name"))
      engine.Models.push_back({*name, numberAt(it, "cost").value_or(0)});
  }
  return engine;
}

std::optional<catalogue::Service> parseService(const Json &json) {
  const auto name = stringAt(json, "name");
  if (!name)
    return std::nullopt;
  catalogue::Service service;
  service.Name = core::ServiceId(*name);
  service.ConnectionLimit = static_cast<unsigned>(std::max<std::int64_t>(
      0, integerAt(json, "connectionLimit").value_or(0)));
  service.ColdStart =
      toMillis(numberAt(json, "coldStartS").value_or(0) * MillisPerSecond);
  service.ColdPerSecond = std::max(0.0, numberAt(json, "coldPerS").value_or(0));
  const auto engine = json.find("inferenceEngine");
  if (engine != json.end() && engine->is_object())
    service.Inference = parseEngine(*engine);
  return service;
}

std::optional<catalogue::Organisation> parseOrganisation(const Json &json) {
  const auto name = stringAt(json, "name");
  if (!name)
    return std::nullopt;
  catalogue::Organisation organisation;
  organisation.Name = core::OrganisationId(*name);
  for (const Json &it : arrayAt(json, "apiKeys")) {
    if (it.is_string())
      organisation.ApiKeys.push_back(it.get<std::string>());
  }
  organisation.HomeRegions = parseRegions(json);
  if (const auto priority = integerAt(json, "priority"))
    organisation.Priority = static_cast<int>(*priority);
  return organisation;
}

/// Returns the size under `key`, or `preset` if there is none. A size that
/// can't be served is replaced by the nearest one that can, and added to
/// `problems`.
std::size_t parseSize(const Json &json, const char *key, std::size_t preset,
                      std::size_t largest, std::string &problems) {
  const auto declared = integerAt(json, key);
  if (!declared)
    return preset;
  const auto served = std::clamp<std::int64_t>(
      *declared, 1, static_cast<std::int64_t>(largest));
  if (served != *declared)
    problems += std::string(key) + " is " + std::to_string(*declared) +
                ", served are 1 to " + std::to_string(largest) + "; ";
  return static_cast<std::size_t>(served);
}

catalogue::CallerLimits parseLimits(const Json &json, std::string &problems) {
  catalogue::CallerLimits limits;
  limits.MaxHeaderBytes =
      parseSize(json, "maxHeaderBytes", limits.MaxHeaderBytes,
                catalogue::LargestHeaderBytes, problems);
  limits.MaxBodyBytes = parseSize(json, "maxBodyBytes", limits.MaxBodyBytes,
                                  catalogue::LargestBodyBytes, problems);
  limits.HeaderTimeout =
      millisAt(json, "headerTimeoutMs", limits.HeaderTimeout.count());
  limits.IdleTimeout =
      millisAt(json, "idleTimeoutMs", limits.IdleTimeout.count());
  return limits;
}

/// Parses the items of the array under `key`; appends the number of malformed
/// ones to `problems`.
template <typename Item>
std::vector<Item> parseArray(const Json &document, const char *key,
                             std::optional<Item> (*parse)(const Json &),
                             std::string &problems) {
  std::vector<Item> items;
  std::size_t invalid = 0;
  for (const Json &it : arrayAt(document, key)) {
    if (auto item = parse(it))
      items.push_back(std::move(*item));
    else
      ++invalid;
  }
  if (invalid != 0)
    problems += std::to_string(invalid) + " invalid entries in " + key + "; ";
  return items;
}

/// Parses an address such as `10.128.0.9:8080` into `server`. Returns false if
/// the text is malformed or the host is not numeric: requests are sent to it
/// without a look-up.
bool parseAddress(const std::string &text, membership::BackendServer &server) {
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
  boost::system::error_code ec;
  boost::asio::ip::make_address(server.Host, ec);
  if (ec)
    return false;
  server.Port = static_cast<std::uint16_t>(port);
  return true;
}

constexpr std::string_view toString(rollout::RolloutPhase phase) {
  switch (phase) {
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
  for (const auto phase : {InProgress, Completed, Reverted}) {
    if (toString(phase) == text)
      return phase;
  }
  return std::nullopt;
}

} // namespace

core::Result<catalogue::Catalogue> parseCatalogue(const std::string &text,
                                                  std::string &problems) {
  const Json json = parseJson(text);
  const auto version = integerAt(json, "version");
  if (!version || *version < 0)
    return core::Errc::Malformed;
  catalogue::Catalogue parsed;
  parsed.Version = core::Generation(static_cast<std::uint64_t>(*version));
  parsed.Routes = parseArray(json, "routes", parseRoute, problems);
  parsed.Services = parseArray(json, "services", parseService, problems);
  if (json.contains("tenants"))
    parsed.Organisations =
        parseArray(json, "tenants", parseOrganisation, problems);
  if (const auto it = json.find("limits"); it != json.end())
    parsed.Limits = parseLimits(*it, problems);
  return parsed;
}

namespace {

/// Returns the start of a runner, zero if it isn't stated, and nothing if it is
/// no time.
std::optional<core::Millis> parseStart(const Json &entry) {
  if (!entry.contains("born"))
    return core::Millis();
  const auto born = integerAt(entry, "born");
  if (!born || *born < 0 || *born > MaxUnixMs)
    return std::nullopt;
  return core::Millis(*born);
}

} // namespace

core::Result<membership::BackendServer>
parseBackendServer(std::string_view id, const std::string &text) {
  const Json json = parseJson(text);
  const auto service = stringAt(json, "service");
  const auto address = stringAt(json, "address");
  const auto state = stringAt(json, "state");
  const auto domain = stringAt(json, "zone");
  const auto version = stringAt(json, "version");
  const auto slots = integerAt(json, "slots");
  membership::BackendServer server;
  if (!service || !address || !parseAddress(*address, server))
    return core::Errc::Malformed;
  if (!domain || !version || !slots || *slots < 1 || *slots > MaxSlots)
    return core::Errc::Malformed;
  const auto startedAt = parseStart(json);
  if (!startedAt)
    return core::Errc::Malformed;
  if (state != "available" && state != "draining")
    return core::Errc::Malformed;
  server.Id = core::RunnerId(std::string(id));
  server.Service = core::ServiceId(*service);
  server.Domain = core::FailureDomainId(*domain);
  server.Version = core::VersionId(*version);
  server.Slots = static_cast<unsigned>(*slots);
  server.Draining = state == "draining";
  server.StartedAt = *startedAt;
  server.ColdRemaining =
      core::Millis(std::clamp(integerAt(json, "coldRemainingMs").value_or(0),
                              std::int64_t{0}, MaxDurationMs));
  server.Sequence = static_cast<std::uint64_t>(
      std::max(std::int64_t{0}, integerAt(json, "sequenceNumber").value_or(0)));
  return server;
}

core::Result<rollout::RolloutCommand>
parseRolloutOrder(const std::string &text) {
  const Json json = parseJson(text);
  const auto service = stringAt(json, "service");
  const auto target = stringAt(json, "target");
  const auto seconds = numberAt(json, "durationS");
  if (!service || !target || !seconds || *seconds <= 0)
    return core::Errc::Malformed;
  return rollout::RolloutCommand{core::ServiceId(*service),
                                 core::VersionId(*target),
                                 toMillis(*seconds * MillisPerSecond)};
}

core::Result<rollout::RolloutStatus>
parseRolloutStatus(std::string_view service, const std::string &text) {
  const Json json = parseJson(text);
  const auto target = stringAt(json, "target");
  const auto phase = phaseOf(stringAt(json, "state").value_or(""));
  if (!target || !phase)
    return core::Errc::Malformed;
  return rollout::RolloutStatus{core::ServiceId(std::string(service)),
                                core::VersionId(*target), *phase};
}

std::string writeRolloutStatus(const rollout::RolloutStatus &status) {
  return internal::writeJson({{"service", status.Service.str()},
                              {"target", status.Target.str()},
                              {"state", toString(status.Phase)}});
}

} // namespace cowslipridge::platform
