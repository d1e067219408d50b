#pragma once

#include "cowslipridge/core/Finding.hpp"

#include <string>
#include <string_view>
#include <vector>

/// Private helpers of the parsers in config/.
namespace cowslipridge::config::internal {

struct IniEntry {
  std::string Key;
  std::string Value; ///< continuation lines are joined with commas
  int Line = 0;
};

struct IniSection {
  std::string Name;
  int Line = 0;
  std::vector<IniEntry> Entries;
};

/// The sections of one file in file order.
struct IniDocument {
  std::string File;
  std::vector<IniSection> Sections;
};

/// Splits INI text into sections and entries with their line numbers. Lines
/// that are neither a section, an entry nor a comment are findings.
IniDocument readIni(std::string_view text, const std::string &file,
                    core::Findings &findings);

} // namespace cowslipridge::config::internal
