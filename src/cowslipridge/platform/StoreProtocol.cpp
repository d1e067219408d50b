#include "cowslipridge/platform/StoreProtocol.hpp"

#include "cowslipridge/core/Base64.hpp"
#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/core/UriEncoding.hpp"
#include "cowslipridge/platform/internal/JsonReader.hpp"

#include <charconv>

namespace cowslipridge::platform {

namespace {

using internal::integerAt;
using internal::Json;
using internal::stringAt;

constexpr std::string_view EraField = "Store-Era";
/// Key of the era in the body of a listing that a gateway wrote.
constexpr const char *EraKey = "era";

http1::RequestHead makeHead(std::string method, std::string target) {
  http1::RequestHead head;
  head.Method = std::move(method);
  head.Target = std::move(target);
  return head;
}

StoreCall makeJsonCall(std::string target, const Json &body) {
  StoreCall call{makeHead("POST", std::move(target)),
                 internal::writeJson(body)};
  call.Head.Fields.add("Content-Type", "application/json");
  return call;
}

std::optional<StoreItem> parseItem(const Json &json) {
  const auto key = stringAt(json, "key");
  const auto revision = integerAt(json, "revision");
  if (!key || !revision)
    return std::nullopt;
  StoreItem item{*key, {}, *revision, internal::boolAt(json, "deleted")};
  if (item.Deleted)
    return item;
  auto value = core::decodeBase64(stringAt(json, "value").value_or(""));
  if (!value)
    return std::nullopt;
  item.Value = std::move(*value);
  return item;
}

core::Result<StoreBatch> parseBatch(const std::string &body, const char *key) {
  const Json json = internal::parseJson(body);
  const auto at = integerAt(json, "at");
  if (!at)
    return core::Errc::Malformed;
  StoreBatch batch;
  batch.Position = {integerAt(json, EraKey).value_or(0), *at};
  batch.HasMore = internal::boolAt(json, "hasMore");
  for (const Json &it : internal::arrayAt(json, key)) {
    if (auto item = parseItem(it))
      batch.Items.push_back(std::move(*item));
  }
  return batch;
}

} // namespace

http1::RequestHead listCall(const std::string &prefix,
                            const std::string &after) {
  std::string target =
      "/v1/kv-range?pathPrefix=" + core::encodeComponent(prefix);
  if (!after.empty())
    target += "&after=" + core::encodeComponent(after);
  return makeHead("GET", std::move(target));
}

http1::RequestHead watchCall(const std::string &prefix, StoreRevision after,
                             core::Millis wait) {
  return makeHead("GET",
                  "/v1/kv-watch?pathPrefix=" + core::encodeComponent(prefix) +
                      "&after=" + std::to_string(after) +
                      "&waitMs=" + std::to_string(wait.count()));
}

StoreCall transactionCall(const StoreTransaction &transaction) {
  Json conditions = Json::array();
  for (const StoreCondition &it : transaction.Conditions)
    conditions.push_back({{"key", it.Key}, {"revision", it.Revision}});
  Json items = Json::array();
  for (const StoreWrite &it : transaction.Writes) {
    Json item{{"key", it.Key}, {"value", core::encodeBase64(it.Value)}};
    if (it.Lease != 0)
      item["lease"] = it.Lease;
    items.push_back(std::move(item));
  }
  return makeJsonCall("/v1/kv-txn", {{"expectedRevision", conditions},
                                     {"write", items},
                                     {"remove", transaction.Removals}});
}

StoreCall grantLeaseCall(core::Millis lifetime) {
  return makeJsonCall("/v1/kv-lease", {{"ttlMs", lifetime.count()}});
}

StoreCall renewLeaseCall(LeaseId lease) {
  return {makeHead("POST", "/v1/kv-keep/" + std::to_string(lease)), {}};
}

StoreCall revokeLeaseCall(LeaseId lease) {
  return {makeHead("DELETE", "/v1/kv-lease-end/" + std::to_string(lease)), {}};
}

StoreEra parseEra(const http1::HeaderFields &fields) {
  const std::string text(fields.find(EraField).value_or(""));
  std::uint32_t number = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), number);
  return parsed.ec == std::errc() ? StoreEra{number} + 1 : 0;
}

std::string writeListing(const StoreBatch &batch) {
  Json entries = Json::array();
  for (const StoreItem &it : batch.Items)
    entries.push_back({{"key", it.Key},
                       {"value", core::encodeBase64(it.Value)},
                       {"revision", it.Revision}});
  return Json{{"entries", entries},
              {"at", batch.Position.Revision},
              {EraKey, batch.Position.Era},
              {"hasMore", batch.HasMore}}
      .dump();
}

core::Result<StoreBatch> parseListing(const std::string &body) {
  return parseBatch(body, "entries");
}

core::Result<StoreBatch> parseChanges(const std::string &body) {
  return parseBatch(body, "events");
}

core::Result<LeaseId> parseLease(const std::string &body) {
  const auto lease = integerAt(internal::parseJson(body), "lease");
  if (!lease)
    return core::Errc::Malformed;
  return *lease;
}

} // namespace cowslipridge::platform
