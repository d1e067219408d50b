#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace cowslipridge::platform::internal {

using Json = nlohmann::json;

/// Returns the parsed value; a discarded value if `text` is no valid JSON or is
/// nested too deeply.
Json parseJson(const std::string &text);
/// Returns the text of `value`. Bytes that are no valid UTF-8 are replaced:
/// names in peers' reports may have any bytes.
std::string writeJson(const Json &value);

// Each function returns an empty value, or false, if the field is missing, has
// another type or is out of the range of the result.
std::optional<std::string> stringAt(const Json &object, const char *key);
std::optional<std::int64_t> integerAt(const Json &object, const char *key);
std::optional<double> numberAt(const Json &object, const char *key);
bool boolAt(const Json &object, const char *key);
/// Returns the array under `key`; an empty one if there is none.
const Json &arrayAt(const Json &object, const char *key);

} // namespace cowslipridge::platform::internal
