#pragma once

#include "CommandLine.hpp"

#include "cowslipridge/config/FileCheck.hpp"

#include <optional>
#include <string>

namespace cowslipridge::ctl {

/// Reads and checks the named files. Prints all findings; returns nullopt if
/// there are any.
std::optional<config::CheckedFiles> readAndCheckFiles(const Arguments &files);

/// Prints findings to standard error, one per line.
void printFindings(const core::Findings &findings);

/// Returns the first line of a file. Prints an error and returns nullopt if the
/// file cannot be read or the line is empty.
std::optional<std::string> readKeyFile(const std::string &name);

} // namespace cowslipridge::ctl
