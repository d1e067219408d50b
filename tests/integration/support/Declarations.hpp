#pragma once

#include <string>

/// Service declarations of the integration tests, and the API keys of their
/// callers.
namespace cowslipridge::integration {

inline const std::string StewardKey = "steward-key";
inline const std::string ParentKey = "parent-key";
inline const std::string AdminKey = "admin-key";

/// Returns the hexadecimal SHA-256 of `key`, the form in which settings and
/// declarations hold keys.
std::string hashKey(const std::string &key);

/// Returns the declaration of `fitting`, a service with two versions of a
/// model. The stewards may use only small@1, the parents both.
std::string fittingText(const std::string &smallState = "active");
/// Returns the declaration of `desk`, a plain service whose bookings run at
/// most once.
std::string deskText();

} // namespace cowslipridge::integration
