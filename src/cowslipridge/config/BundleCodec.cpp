#include "cowslipridge/config/BundleCodec.hpp"

#include "cowslipridge/core/Error.hpp"

#include <nlohmann/json.hpp>

#include <limits>
#include <stdexcept>

namespace cowslipridge::config {

namespace {

using nlohmann::json;

std::string_view toWord(VersionState state) {
  switch (state) {
  case VersionState::Active:
    return "active";
  case VersionState::Trial:
    return "trial";
  case VersionState::Withdrawn:
    break;
  }
  return "withdrawn";
}

json toJson(const VersionDeclaration &version) {
  return {{"name", version.Name.str()},
          {"state", toWord(version.State)},
          {"engine_model", version.EngineModel},
          {"cost_per_1k_tokens", version.CostPerThousandTokens},
          {"expected_quality", version.ExpectedQuality}};
}

json toJson(const OrganisationDeclaration &tenant) {
  json allowed = json::array();
  for (const core::VersionId &it : tenant.Allowed)
    allowed.push_back(it.str());
  return {
      {"name", tenant.Name.str()},     {"key_hashes", tenant.KeyHashes},
      {"allowed", std::move(allowed)}, {"quality_target", tenant.QualityTarget},
      {"weight", tenant.Weight},       {"max_in_flight", tenant.MaxInFlight}};
}

json toJson(const CallDeclaration &call) {
  return {{"name", call.Name},
          {"method", call.Method},
          {"path", call.PathPrefix},
          {"idempotent", call.Idempotent}};
}

json toJson(const RolloutDeclaration &rollout) {
  return {{"trial", rollout.Trial.str()},
          {"replaces", rollout.Replaces.str()},
          {"steps", rollout.Steps},
          {"initial_credits", rollout.InitialCredits},
          {"grades_per_step", rollout.GradesPerStep},
          {"max_quality_loss", rollout.MaxQualityLoss},
          {"false_cut_off", rollout.FalseCutOff}};
}

template <typename Items> json toJsonList(const Items &items) {
  json list = json::array();
  for (const auto &it : items)
    list.push_back(toJson(it));
  return list;
}

json toJson(const ServiceDeclaration &service) {
  json value = {
      {"name", service.Name.str()},
      {"kind", service.Kind == ServiceKind::Model ? "model" : "plain"},
      {"deadline_ms", service.Deadline.count()},
      {"max_wait_ms", service.MaxWait.count()},
      {"dedup_window_ms", service.DedupWindow.count()},
      {"shards", service.Shards},
      {"max_queue", service.MaxQueue},
      {"max_concurrency", service.MaxConcurrency},
      {"deferrable", service.Deferrable},
      {"checks_fencing", service.ChecksFencing},
      {"versions", toJsonList(service.Versions)},
      {"organisations", toJsonList(service.Organisations)},
      {"calls", toJsonList(service.Calls)}};
  if (service.Rollout)
    value["rollout"] = toJson(*service.Rollout);
  return value;
}

// The functions below throw std::exception on unexpected input; the public
// functions convert that to an error code.

std::string textAt(const json &value, const char *key) {
  return value.at(key).get<std::string>();
}

template <typename Name> Name nameAt(const json &value, const char *key) {
  Name name(textAt(value, key));
  if (name.empty())
    throw std::invalid_argument("empty name");
  return name;
}

bool flagAt(const json &value, const char *key) {
  return value.at(key).get<bool>();
}

std::uint64_t wholeAt(const json &value, const char *key,
                      std::uint64_t highest) {
  const json &number = value.at(key);
  if (!number.is_number_unsigned())
    throw std::invalid_argument("not a whole number");
  const auto whole = number.get<std::uint64_t>();
  if (whole > highest)
    throw std::out_of_range("number too large");
  return whole;
}

unsigned countAt(const json &value, const char *key) {
  return static_cast<unsigned>(
      wholeAt(value, key, std::numeric_limits<unsigned>::max()));
}

core::Millis millisAt(const json &value, const char *key) {
  constexpr auto Highest =
      static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  return core::Millis(static_cast<std::int64_t>(wholeAt(value, key, Highest)));
}

const json &listAt(const json &value, const char *key) {
  const json &list = value.at(key);
  if (!list.is_array())
    throw std::invalid_argument("not a list");
  return list;
}

VersionState stateAt(const json &value, const char *key) {
  const std::string word = textAt(value, key);
  for (const VersionState it :
       {VersionState::Active, VersionState::Trial, VersionState::Withdrawn}) {
    if (word == toWord(it))
      return it;
  }
  throw std::invalid_argument("unknown state");
}

ServiceKind kindAt(const json &value, const char *key) {
  const std::string word = textAt(value, key);
  if (word == "model")
    return ServiceKind::Model;
  if (word == "plain")
    return ServiceKind::Plain;
  throw std::invalid_argument("unknown kind");
}

VersionDeclaration versionFrom(const json &value) {
  VersionDeclaration version;
  version.Name = nameAt<core::VersionId>(value, "name");
  version.State = stateAt(value, "state");
  version.EngineModel = textAt(value, "engine_model");
  version.CostPerThousandTokens = value.at("cost_per_1k_tokens").get<double>();
  version.ExpectedQuality = value.at("expected_quality").get<double>();
  return version;
}

OrganisationDeclaration organisationFrom(const json &value) {
  OrganisationDeclaration tenant;
  tenant.Name = nameAt<core::OrganisationId>(value, "name");
  tenant.KeyHashes = value.at("key_hashes").get<std::vector<std::string>>();
  for (const json &it : listAt(value, "allowed"))
    tenant.Allowed.emplace_back(it.get<std::string>());
  tenant.QualityTarget = value.at("quality_target").get<double>();
  tenant.Weight = countAt(value, "weight");
  tenant.MaxInFlight = countAt(value, "max_in_flight");
  return tenant;
}

CallDeclaration callFrom(const json &value) {
  return {.Name = textAt(value, "name"),
          .Method = textAt(value, "method"),
          .PathPrefix = textAt(value, "path"),
          .Idempotent = flagAt(value, "idempotent")};
}

RolloutDeclaration rolloutFrom(const json &value) {
  RolloutDeclaration rollout;
  rollout.Trial = nameAt<core::VersionId>(value, "trial");
  rollout.Replaces = nameAt<core::VersionId>(value, "replaces");
  rollout.Steps = value.at("steps").get<std::vector<double>>();
  rollout.InitialCredits = countAt(value, "initial_credits");
  rollout.GradesPerStep = countAt(value, "grades_per_step");
  rollout.MaxQualityLoss = value.at("max_quality_loss").get<double>();
  rollout.FalseCutOff = value.at("false_cut_off").get<double>();
  return rollout;
}

ServiceDeclaration serviceFrom(const json &value) {
  ServiceDeclaration service;
  service.Name = nameAt<core::ServiceId>(value, "name");
  service.Kind = kindAt(value, "kind");
  service.Deadline = millisAt(value, "deadline_ms");
  service.MaxWait = millisAt(value, "max_wait_ms");
  service.DedupWindow = millisAt(value, "dedup_window_ms");
  service.Shards = countAt(value, "shards");
  service.MaxQueue = countAt(value, "max_queue");
  service.MaxConcurrency = countAt(value, "max_concurrency");
  service.Deferrable = flagAt(value, "deferrable");
  service.ChecksFencing = flagAt(value, "checks_fencing");
  for (const json &it : listAt(value, "versions"))
    service.Versions.push_back(versionFrom(it));
  for (const json &it : listAt(value, "organisations"))
    service.Organisations.push_back(organisationFrom(it));
  for (const json &it : listAt(value, "calls"))
    service.Calls.push_back(callFrom(it));
  if (value.contains("rollout"))
    service.Rollout = rolloutFrom(value.at("rollout"));
  if (service.Shards == 0)
    throw std::out_of_range("no shards");
  return service;
}

Bundle bundleFrom(const json &value) {
  Bundle bundle;
  bundle.Number = core::Generation(
      wholeAt(value, "generation", std::numeric_limits<std::uint64_t>::max()));
  for (const json &it : listAt(value, "services")) {
    ServiceDeclaration service = serviceFrom(it);
    const core::ServiceId name = service.Name;
    if (!bundle.Services.emplace(name, std::move(service)).second)
      throw std::invalid_argument("duplicate service");
  }
  return bundle;
}

template <typename Value>
core::Result<Value> decode(std::string_view text,
                           Value (*convert)(const json &)) {
  try {
    return convert(json::parse(text));
  } catch (const std::exception &) {
    return core::Errc::InvalidConfig;
  }
}

std::string dump(const json &value) {
  return value.dump(-1, ' ', true, json::error_handler_t::replace);
}

} // namespace

std::string encodeService(const ServiceDeclaration &service) {
  return dump(toJson(service));
}

core::Result<ServiceDeclaration> decodeService(std::string_view text) {
  return decode(text, &serviceFrom);
}

std::string encodeBundle(const Bundle &bundle) {
  json services = json::array();
  for (const auto &[name, service] : bundle.Services)
    services.push_back(toJson(service));
  return dump({{"generation", bundle.Number.value()},
               {"services", std::move(services)}});
}

core::Result<Bundle> decodeBundle(std::string_view text) {
  return decode(text, &bundleFrom);
}

} // namespace cowslipridge::config
