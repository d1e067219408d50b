#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

/// The operators' command-line tool.
namespace cowslipridge::ctl {

/// What the process's exit status says; docs/operators/cowslipctl.md lists
/// them.
enum class ExitCode : int {
  Success = 0,
  Findings = 1,    ///< files or data are wrong; nothing was changed
  Usage = 2,       ///< the command line is wrong
  Unreachable = 3, ///< the platform or an instance does not answer
  Conflict = 4,    ///< another change came first; nothing was changed
  Unknown = 5,     ///< a change may or may not be in force
};

using Arguments = std::vector<std::string>;

/// One sub-command.
struct Command {
  std::string_view Name;
  std::string_view Synopsis;           ///< its arguments, for the help
  std::string_view Summary;            ///< one line
  std::vector<std::string_view> Flags; ///< the flags that it takes
  ExitCode (*Run)(const Arguments &arguments);
};

/// Finds the command, checks its flags and runs it. `arguments` are the words
/// that are no flags.
ExitCode runCommand(std::span<const Command> commands,
                    const Arguments &arguments);

/// Prints what is wrong with the command line, for `return fail(...)`.
ExitCode failUsage(std::string_view message);

} // namespace cowslipridge::ctl
