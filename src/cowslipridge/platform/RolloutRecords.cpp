#include "cowslipridge/platform/RolloutRecords.hpp"

#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/platform/Documents.hpp"
#include "cowslipridge/platform/internal/JsonReader.hpp"
#include "cowslipridge/platform/internal/KeyPrefix.hpp"

#include <set>
#include <utility>

namespace cowslipridge::platform {

namespace {

constexpr std::string_view StatusPrefix = "status/rollout/";
// Written by gateways only.
constexpr std::string_view ProgressPrefix = "cowslipridge/progress/";
constexpr std::string_view MarkerPrefix = "cowslipridge/record/";

} // namespace

std::string RolloutRecords::statusKey(const std::string &service) {
  return internal::makeKey(StatusPrefix, service);
}

std::string RolloutRecords::progressKey(const std::string &service) {
  return internal::makeKey(ProgressPrefix, service);
}

std::string RolloutRecords::markerKey(const std::string &service,
                                      const std::string &id) {
  return internal::makeKey(MarkerPrefix, service + "/" + id);
}

std::optional<std::string>
RolloutRecords::parseStatusKey(const std::string &key) {
  return internal::stripPrefix(StatusPrefix, key);
}

std::optional<std::string>
RolloutRecords::parseProgressKey(const std::string &key) {
  return internal::stripPrefix(ProgressPrefix, key);
}

std::optional<std::string>
RolloutRecords::parseMarkerKey(const std::string &key) {
  const auto rest = internal::stripPrefix(MarkerPrefix, key);
  const std::size_t slash = rest ? rest->rfind('/') : std::string::npos;
  if (slash == std::string::npos)
    return std::nullopt;
  return rest->substr(0, slash);
}

void RolloutRecords::record(const StoreItem &item) {
  const StoreRevision revision = item.Deleted ? 0 : item.Revision;
  if (const auto status = parseStatusKey(item.Key)) {
    Records[*status].Status = revision;
  } else if (const auto progress = parseProgressKey(item.Key)) {
    Records[*progress].Progress = revision;
  } else if (const auto marker = parseMarkerKey(item.Key)) {
    if (item.Deleted)
      Records[*marker].Markers.erase(item.Key);
    else
      Records[*marker].Markers[item.Key] = revision;
  }
}

StoreTransaction
RolloutRecords::replace(const rollout::RolloutStatus &status,
                        const rollout::RolloutProgress &progress,
                        const std::string &id) const {
  const std::string &service = status.Service.str();
  const auto known = Records.find(service);
  const Record record = known == Records.end() ? Record() : known->second;
  StoreTransaction transaction;
  transaction.Conditions = {{statusKey(service), record.Status},
                            {progressKey(service), record.Progress}};
  for (const auto &[key, revision] : record.Markers) {
    transaction.Conditions.push_back({key, revision});
    transaction.Removals.push_back(key);
  }
  transaction.Writes = {{statusKey(service), writeRolloutStatus(status), 0},
                        {progressKey(service), writeProgress(progress), 0},
                        {markerKey(service, id), {}, 0}};
  return transaction;
}

namespace {

// Records of earlier builds don't name the versions that serve.
std::set<core::VersionId> parseServing(const internal::Json &json) {
  std::set<core::VersionId> versions;
  const auto it = json.find("serving");
  if (it == json.end() || !it->is_array())
    return versions;
  for (const internal::Json &version : *it) {
    if (version.is_string())
      versions.insert(core::VersionId(version.get<std::string>()));
  }
  return versions;
}

} // namespace

std::string writeProgress(const rollout::RolloutProgress &progress) {
  internal::Json serving = internal::Json::array();
  for (const core::VersionId &it : progress.Serving)
    serving.push_back(it.str());
  return internal::writeJson({{"target", progress.Target.str()},
                              {"step", progress.Step},
                              {"elapsed_ms", progress.Elapsed.count()},
                              {"serving", std::move(serving)}});
}

core::Result<rollout::RolloutProgress> parseProgress(const std::string &service,
                                                     const std::string &text) {
  const internal::Json json = internal::parseJson(text);
  const auto target = internal::stringAt(json, "target");
  const auto step = internal::integerAt(json, "step");
  const auto elapsed = internal::integerAt(json, "elapsed_ms");
  if (!target || !step || !elapsed)
    return core::Errc::Malformed;
  return rollout::RolloutProgress{
      core::ServiceId(service), core::VersionId(*target),
      static_cast<unsigned>(*step), core::Millis(*elapsed), parseServing(json)};
}

} // namespace cowslipridge::platform
