#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

/// The command-line tool for operators.
namespace cowslipridge::ctl {

/// Exit status of the process. The values are documented in
/// docs/operators/cowslipctl.md.
enum class ExitCode : int {
  Success = 0,
  Findings = 1,    ///< files or data are invalid; nothing was changed
  Usage = 2,       ///< the command line is invalid
  Unreachable = 3, ///< the platform or an instance does not respond
  Conflict = 4,    ///< a concurrent change won; nothing was changed
  Unknown = 5,     ///< a change may or may not be in force
};

using Arguments = std::vector<std::string>;

/// One sub-command.
struct Command {
  std::string_view Name;
  std::string_view Synopsis;           ///< arguments, as shown in the help text
  std::string_view Summary;            ///< one-line description
  std::vector<std::string_view> Flags; ///< names of the accepted flags
  ExitCode (*Run)(const Arguments &arguments);
};

/// Finds the command named by the first argument, checks its flags and runs
/// it. `arguments` are the command-line words other than flags.
ExitCode runCommand(std::span<const Command> commands,
                    const Arguments &arguments);

/// Prints a usage error and returns ExitCode::Usage, so that callers can write
/// `return failUsage(...)`.
ExitCode failUsage(std::string_view message);

} // namespace cowslipridge::ctl
