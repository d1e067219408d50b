#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace cowslipridge::support {

/// Bytes that a faulty server sends in place of a response and that are none,
/// before it closes the connection. No client may take them for an answer.
struct BrokenAnswer {
  std::string Name; ///< letters and digits
  std::string Bytes;
};

/// Returns one of each form. `fields` are lines of their heads that a sound
/// response of the server has as well.
std::vector<BrokenAnswer> brokenAnswers(const std::string &fields);

inline std::ostream &operator<<(std::ostream &out, const BrokenAnswer &it) {
  return out << it.Name;
}

} // namespace cowslipridge::support
