#pragma once

#include "cowslipridge/config/DeclarationParser.hpp"
#include "cowslipridge/config/Settings.hpp"
#include "cowslipridge/core/Finding.hpp"

#include <string>
#include <vector>

namespace cowslipridge::config {

/// The name and text of one file.
struct SourceFile {
  std::string Name;
  std::string Text;
};

/// Settings with the name of their file.
struct SettingsFile {
  std::string File;
  DaemonSettings Settings;
};

/// The valid declarations and settings among the checked files.
struct CheckedFiles {
  std::vector<DeclarationFile> Declarations;
  std::vector<SettingsFile> Settings;
};

/// Parses declarations and settings (files with a section `[process]`) and
/// checks that they are consistent: no name or address is used twice, and each
/// runner serves declared versions when declarations are among the files.
CheckedFiles checkFiles(const std::vector<SourceFile> &files,
                        core::Findings &findings);

} // namespace cowslipridge::config
