#pragma once

#include "CommandLine.hpp"

namespace cowslipridge::ctl {

/// Checks declarations and settings and prints all findings.
ExitCode check(const Arguments &files);
/// Puts declarations in force.
ExitCode publish(const Arguments &files);
/// Prints what is in force and how the instances are.
ExitCode status(const Arguments &none);
/// Prints the events of all instances in one order.
ExitCode timeline(const Arguments &none);
/// Prints the bills of one service.
ExitCode bill(const Arguments &none);
/// Prints why one request went where it went.
ExitCode explain(const Arguments &request);

} // namespace cowslipridge::ctl
