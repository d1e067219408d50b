#include "cowslipridge/backing/internal/InstanceCodec.hpp"

#include "cowslipridge/core/Error.hpp"

#include <nlohmann/json.hpp>

#include <charconv>
#include <limits>
#include <optional>
#include <utility>

namespace cowslipridge::backing::internal {

namespace {

using nlohmann::json;

constexpr std::string_view EntryRole = "entry";
constexpr std::string_view SidecarRole = "sidecar";
constexpr std::string_view ServiceName = "cowslipridge";

template <typename T> std::optional<T> parseNumber(const std::string &text) {
  T value = 0;
  const char *end = text.data() + text.size();
  const auto [last, ec] = std::from_chars(text.data(), end, value);
  if (ec != std::errc() || last != end)
    return std::nullopt;
  return value;
}

std::optional<std::string> findText(const json &object, const char *key) {
  if (!object.is_object())
    return std::nullopt;
  const auto it = object.find(key);
  if (it == object.end() || !it->is_string())
    return std::nullopt;
  return it->get<std::string>();
}

std::optional<std::uint16_t> findPort(const json &object, const char *key) {
  const auto it = object.find(key);
  if (it == object.end() || !it->is_number_unsigned() ||
      it->get<std::uint64_t>() > std::numeric_limits<std::uint16_t>::max())
    return std::nullopt;
  return it->get<std::uint16_t>();
}

std::optional<Role> parseRole(const std::string &text) {
  if (text == EntryRole)
    return Role::Entry;
  if (text == SidecarRole)
    return Role::Sidecar;
  return std::nullopt;
}

// Versions are encoded as a JSON list in one string, as Consul metadata values
// are strings.
std::optional<std::vector<core::VersionId>>
parseVersions(const std::string &text) {
  const json list = json::parse(text, nullptr, false);
  if (!list.is_array())
    return std::nullopt;
  std::vector<core::VersionId> versions;
  for (const json &item : list) {
    if (!item.is_string())
      return std::nullopt;
    versions.emplace_back(item.get<std::string>());
  }
  return versions;
}

std::string writeVersions(const std::vector<core::VersionId> &versions) {
  json list = json::array();
  for (const core::VersionId &it : versions)
    list.push_back(it.str());
  return list.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<InstanceRecord> parseRecord(const json &item) {
  if (!item.is_object() || !item.contains("Service"))
    return std::nullopt;
  const json &service = item["Service"];
  if (!service.is_object() || !service.contains("Meta"))
    return std::nullopt;
  const json &meta = service["Meta"];
  const auto name = findText(service, "ID");
  const auto address = findText(service, "Address");
  const auto httpPort = findPort(service, "Port");
  const auto role = parseRole(findText(meta, "role").value_or(""));
  const auto start =
      parseNumber<std::uint64_t>(findText(meta, "incarnation").value_or(""));
  const auto rpcPort =
      parseNumber<std::uint16_t>(findText(meta, "rpc_port").value_or(""));
  const auto versions = parseVersions(findText(meta, "versions").value_or(""));
  if (!name || !address || !httpPort || !role || !start || !rpcPort ||
      !versions)
    return std::nullopt;

  InstanceRecord record;
  record.Name = core::InstanceId(*name);
  record.Kind = *role;
  record.Domain =
      core::FailureDomainId(findText(meta, "failure_domain").value_or(""));
  record.Start = core::Incarnation(*start);
  record.Address = *address;
  record.RpcPort = *rpcPort;
  record.HttpPort = *httpPort;
  record.Service = core::ServiceId(findText(meta, "service").value_or(""));
  record.Versions = *versions;
  record.Leaving = findText(meta, "leaving").value_or("") == "true";
  return record;
}

} // namespace

std::string writeRegistration(const InstanceRecord &record) {
  const bool entry = record.Kind == Role::Entry;
  const json body = {{"ID", record.Name.str()},
                     {"Name", ServiceName},
                     {"Address", record.Address},
                     {"Port", record.HttpPort},
                     {"Meta",
                      {{"role", entry ? EntryRole : SidecarRole},
                       {"failure_domain", record.Domain.str()},
                       {"incarnation", std::to_string(record.Start.value())},
                       {"rpc_port", std::to_string(record.RpcPort)},
                       {"service", record.Service.str()},
                       {"versions", writeVersions(record.Versions)},
                       {"leaving", record.Leaving ? "true" : "false"}}}};
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

core::Result<std::vector<InstanceRecord>> parseHealth(std::string_view body) {
  const json items = json::parse(body, nullptr, false);
  if (!items.is_array())
    return core::Errc::Malformed;
  std::vector<InstanceRecord> records;
  for (const json &item : items)
    if (auto record = parseRecord(item))
      records.push_back(std::move(*record));
  return records;
}

} // namespace cowslipridge::backing::internal
