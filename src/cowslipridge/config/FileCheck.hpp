#pragma once

#include "cowslipridge/config/DeclarationParser.hpp"
#include "cowslipridge/config/Settings.hpp"
#include "cowslipridge/core/Finding.hpp"

#include <string>
#include <vector>

namespace cowslipridge::config {

/// The text of one file and its name.
struct SourceFile {
  std::string Name;
  std::string Text;
};

/// Settings with the file that they came from.
struct SettingsFile {
  std::string File;
  DaemonSettings Settings;
};

/// Files of both kinds, sorted.
struct CheckedFiles {
  std::vector<DeclarationFile> Declarations;
  std::vector<SettingsFile> Settings;
};

/// Parses declarations and settings, told apart by the section `[process]`, and
/// checks that they fit together: no name or address is used twice, and each
/// runner serves declared versions when declarations are among the files.
CheckedFiles checkFiles(const std::vector<SourceFile> &files,
                        core::Findings &findings);

} // namespace cowslipridge::config
