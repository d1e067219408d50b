#pragma once

#include <string>

/// Services that the integration tests declare, and the keys of their callers.
namespace cowslipridge::integration {

inline const std::string StewardKey = "steward-key";
inline const std::string ParentKey = "parent-key";
inline const std::string AdminKey = "admin-key";

/// SHA-256 in hex, as settings and declarations name keys.
std::string hashKey(const std::string &key);

/// `fitting`: two versions of a model. The stewards may use small@1 alone, the
/// parents both.
std::string fittingText(const std::string &smallState = "active");
/// `desk`: a plain service whose bookings may run once only.
std::string deskText();

} // namespace cowslipridge::integration
