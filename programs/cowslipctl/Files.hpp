#pragma once

#include "CommandLine.hpp"

#include "cowslipridge/config/FileCheck.hpp"

#include <optional>
#include <string>

namespace cowslipridge::ctl {

/// Reads and checks the named files. Prints all findings; nothing when there
/// are any.
std::optional<config::CheckedFiles> readChecked(const Arguments &files);

/// Prints findings, one a line.
void printFindings(const core::Findings &findings);

/// The first line of a file, or nothing after printing why not.
std::optional<std::string> readKeyFile(const std::string &name);

} // namespace cowslipridge::ctl
