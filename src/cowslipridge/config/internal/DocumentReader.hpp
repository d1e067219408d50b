#pragma once

#include "cowslipridge/config/internal/IniText.hpp"
#include "cowslipridge/config/internal/SectionReader.hpp"
#include "cowslipridge/core/Finding.hpp"

#include <span>
#include <string>
#include <string_view>

namespace cowslipridge::config::internal {

/// Checks the sections of a settings file and opens readers on them.
class DocumentReader {
public:
  DocumentReader(const IniDocument &document, core::Findings &findings)
      : Document(document), Findings(findings) {}

  /// Reports sections that are not among `names` and sections that appear
  /// twice.
  void checkSections(std::span<const std::string_view> names);
  /// Returns a reader of the section. A missing section is read as empty, so
  /// that each of its required keys is reported.
  SectionReader open(std::string_view name);
  [[nodiscard]] const IniSection *find(std::string_view name) const;
  void addFinding(int line, const std::string &section, std::string message,
                  std::string suggestion);

private:
  const IniDocument &Document;
  core::Findings &Findings;
  IniSection Missing;
};

} // namespace cowslipridge::config::internal
