#include "cowslipridge/platform/internal/JsonReader.hpp"

#include <limits>

namespace cowslipridge::platform::internal {

namespace {

/// Bounds the nesting of documents, as copies and comparisons of values
/// recurse.
constexpr int MaxNesting = 64;

const Json *valueAt(const Json &object, const char *key) {
  if (!object.is_object())
    return nullptr;
  const auto it = object.find(key);
  return it == object.end() ? nullptr : &*it;
}

} // namespace

Json parseJson(const std::string &text) {
  bool isTooDeep = false;
  const auto checkDepth = [&](int depth, Json::parse_event_t /*event*/,
                              Json & /*value*/) {
    isTooDeep = isTooDeep || depth > MaxNesting;
    return !isTooDeep;
  };
  Json parsed = Json::parse(text, checkDepth, false);
  return isTooDeep ? Json(Json::value_t::discarded) : parsed;
}

std::string writeJson(const Json &value) {
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<std::string> stringAt(const Json &object, const char *key) {
  const Json *value = valueAt(object, key);
  if (value == nullptr || !value->is_string())
    return std::nullopt;
  return value->get<std::string>();
}

std::optional<std::int64_t> integerAt(const Json &object, const char *key) {
  const Json *value = valueAt(object, key);
  if (value == nullptr || !value->is_number_integer())
    return std::nullopt;
  constexpr auto Max =
      static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  if (value->is_number_unsigned() && value->get<std::uint64_t>() > Max)
    return std::nullopt;
  return value->get<std::int64_t>();
}

std::optional<double> numberAt(const Json &object, const char *key) {
  const Json *value = valueAt(object, key);
  if (value == nullptr || !value->is_number())
    return std::nullopt;
  return value->get<double>();
}

bool boolAt(const Json &object, const char *key) {
  const Json *value = valueAt(object, key);
  return value != nullptr && value->is_boolean() && value->get<bool>();
}

const Json &arrayAt(const Json &object, const char *key) {
  static const Json Empty = Json::array();
  const Json *value = valueAt(object, key);
  return value != nullptr && value->is_array() ? *value : Empty;
}

} // namespace cowslipridge::platform::internal
