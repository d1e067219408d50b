#include "cowslipridge/backing/internal/KvCodec.hpp"

#include "cowslipridge/core/Base64.hpp"
#include "cowslipridge/core/Error.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace cowslipridge::backing::internal {

namespace {

std::optional<StoreEntry> parseEntry(const nlohmann::json &item) {
  if (!item.is_object())
    return std::nullopt;
  const auto key = item.find("Key");
  const auto index = item.find("ModifyIndex");
  const auto value = item.find("Value");
  if (key == item.end() || !key->is_string() || index == item.end() ||
      !index->is_number_unsigned())
    return std::nullopt;
  StoreEntry entry;
  entry.Key = key->get<std::string>();
  entry.ModifiedAt = index->get<Revision>();
  // Consul encodes an empty value as null.
  if (value == item.end() || value->is_null())
    return entry;
  if (!value->is_string())
    return std::nullopt;
  auto bytes = core::decodeBase64(value->get_ref<const std::string &>());
  if (!bytes)
    return std::nullopt;
  entry.Value = std::move(*bytes);
  return entry;
}

} // namespace

core::Result<std::vector<StoreEntry>> parseEntries(std::string_view body) {
  const auto items = nlohmann::json::parse(body, nullptr, false);
  if (!items.is_array())
    return core::Errc::Malformed;
  std::vector<StoreEntry> entries;
  for (const auto &item : items) {
    auto entry = parseEntry(item);
    if (!entry)
      return core::Errc::Malformed;
    entries.push_back(std::move(*entry));
  }
  std::sort(
      entries.begin(), entries.end(),
      [](const StoreEntry &a, const StoreEntry &b) { return a.Key < b.Key; });
  return entries;
}

std::optional<bool> parseDecision(std::string_view body) {
  const auto decision = nlohmann::json::parse(body, nullptr, false);
  if (!decision.is_boolean())
    return std::nullopt;
  return decision.get<bool>();
}

} // namespace cowslipridge::backing::internal
