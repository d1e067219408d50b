#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace cowslipridge::platform::internal {

using Json = nlohmann::json;

/// The value parsed; a discarded value when `text` is no JSON.
Json parseJson(const std::string &text);

// Each returns nothing when the field is missing or of another type.
std::optional<std::string> textAt(const Json &object, const char *key);
std::optional<std::int64_t> wholeAt(const Json &object, const char *key);
std::optional<double> numberAt(const Json &object, const char *key);
bool flagAt(const Json &object, const char *key);
/// The array under `key`; an empty one when there is none.
const Json &listAt(const Json &object, const char *key);

} // namespace cowslipridge::platform::internal
