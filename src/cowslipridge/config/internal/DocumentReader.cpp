#include "cowslipridge/config/internal/DocumentReader.hpp"

#include <algorithm>
#include <vector>

namespace cowslipridge::config::internal {

namespace {

/// Formats section names as `[a], [b] or [c]`.
std::string listOf(std::span<const std::string_view> names) {
  std::string text;
  for (std::size_t n = 0; n < names.size(); ++n) {
    if (n != 0)
      text += n + 1 == names.size() ? " or " : ", ";
    text += "[" + std::string(names[n]) + "]";
  }
  return text;
}

} // namespace

void DocumentReader::checkSections(std::span<const std::string_view> names) {
  std::vector<std::string> seen;
  for (const IniSection &it : Document.Sections) {
    if (std::find(names.begin(), names.end(), it.Name) == names.end())
      addFinding(it.Line, it.Name, "unknown section", listOf(names));
    else if (std::find(seen.begin(), seen.end(), it.Name) != seen.end())
      addFinding(it.Line, it.Name, "the section appears twice",
                 "all its keys in one section");
    seen.push_back(it.Name);
  }
}

const IniSection *DocumentReader::find(std::string_view name) const {
  const auto it =
      std::find_if(Document.Sections.begin(), Document.Sections.end(),
                   [&](const IniSection &x) { return x.Name == name; });
  return it == Document.Sections.end() ? nullptr : &*it;
}

SectionReader DocumentReader::open(std::string_view name) {
  if (const IniSection *section = find(name))
    return {Document.File, *section, Findings};
  Missing.Name = name;
  return {Document.File, Missing, Findings};
}

void DocumentReader::addFinding(int line, const std::string &section,
                                std::string message, std::string suggestion) {
  Findings.add({.File = Document.File,
                .Line = line,
                .Section = section,
                .Key = "",
                .Message = std::move(message),
                .Suggestion = std::move(suggestion)});
}

} // namespace cowslipridge::config::internal
