#pragma once

#include "CommandLine.hpp"

namespace cowslipridge::ctl {

/// Checks declarations and settings and prints all findings.
ExitCode check(const Arguments &files);
/// Publishes declarations, which puts them in force.
ExitCode publish(const Arguments &files);
/// Prints the configuration in force and the status of each instance.
ExitCode status(const Arguments &arguments);
/// Prints the events of all instances, or of log files, as one timeline.
ExitCode timeline(const Arguments &logs);
/// Prints the events of log files as one timeline, restricted to `request`
/// unless it is empty.
ExitCode showLogs(const Arguments &files, const std::string &request);
/// Prints the bills of one service.
ExitCode bill(const Arguments &arguments);
/// Prints the routing decisions of one request. The first argument is the
/// request id; any others are log files.
ExitCode explain(const Arguments &requestAndLogs);

} // namespace cowslipridge::ctl
