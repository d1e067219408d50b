#pragma once

#include "CommandLine.hpp"

namespace cowslipridge::ctl {

/// Checks declarations and settings and prints all findings.
ExitCode check(const Arguments &files);
/// Puts declarations in force.
ExitCode publish(const Arguments &files);
/// Prints what is in force and how the instances are.
ExitCode status(const Arguments &none);
/// Prints the events of all instances, or of log files, in one order.
ExitCode timeline(const Arguments &logs);
/// Prints the events of log files in one order; with a request, only its own.
ExitCode showLogs(const Arguments &files, const std::string &request);
/// Prints the bills of one service.
ExitCode bill(const Arguments &none);
/// Prints why one request went where it went; a request, then log files.
ExitCode explain(const Arguments &requestAndLogs);

} // namespace cowslipridge::ctl
