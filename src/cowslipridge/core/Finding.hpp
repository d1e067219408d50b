#pragma once

#include <compare>
#include <string>
#include <vector>

namespace cowslipridge::core {

/// One thing that is wrong with an input file, with its place.
struct Finding {
  std::string File;
  int Line = 0; ///< from 1; 0 when the whole file is meant
  std::string Section;
  std::string Key;
  std::string Message;
  std::string Suggestion; ///< what to write instead; may be empty

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

/// One line for people: `file:line: [section] key: message; write ...`.
std::string toString(const Finding &finding);

} // namespace cowslipridge::core
