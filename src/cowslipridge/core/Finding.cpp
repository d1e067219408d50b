#include "cowslipridge/core/Finding.hpp"

#include <utility>

namespace cowslipridge::core {

void Findings::add(Finding finding) { Items.push_back(std::move(finding)); }

std::string toString(const Finding &finding) {
  std::string text = finding.File;
  if (finding.Line > 0)
    text += ":" + std::to_string(finding.Line);
  text += ": ";
  if (!finding.Section.empty())
    text += "[" + finding.Section + "] ";
  if (!finding.Key.empty())
    text += finding.Key + ": ";
  text += finding.Message;
  if (!finding.Suggestion.empty())
    text += "; write " + finding.Suggestion;
  return text;
}

} // namespace cowslipridge::core
