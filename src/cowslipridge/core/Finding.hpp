#pragma once

#include <compare>
#include <string>
#include <vector>

namespace cowslipridge::core {

/// One problem in an input file, with its location.
struct Finding {
  std::string File;
  int Line = 0; ///< from 1; 0 when the finding concerns the entire file
  std::string Section;
  std::string Key;
  std::string Message;
  std::string Suggestion; ///< a valid replacement; may be empty

  friend auto operator<=>(const Finding &, const Finding &) = default;
};

/// Collects findings so that all of them are reported together.
class Findings {
public:
  void add(Finding finding);
  [[nodiscard]] bool empty() const { return Items.empty(); }
  [[nodiscard]] const std::vector<Finding> &items() const { return Items; }

private:
  std::vector<Finding> Items;
};

/// Formats a finding as one line: `file:line: [section] key: message; write
/// ...`.
std::string toString(const Finding &finding);

} // namespace cowslipridge::core
