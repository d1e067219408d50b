#include "CommandLine.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>

namespace cowslipridge::ctl {

namespace {

constexpr std::string_view Program = "cowslipctl";

bool isSet(const char *flag) {
  gflags::CommandLineFlagInfo info;
  return gflags::GetCommandLineFlagInfo(flag, &info) && !info.is_default;
}

void printFlag(std::string_view name) {
  gflags::CommandLineFlagInfo info;
  if (!gflags::GetCommandLineFlagInfo(std::string(name).c_str(), &info))
    return;
  std::cout << "  --" << name << "  " << info.description;
  if (!info.default_value.empty() && info.type != "bool")
    std::cout << " (default " << info.default_value << ")";
  std::cout << "\n";
}

void printHelp(const Command &command) {
  std::cout << "usage: " << Program << " " << command.Name << " "
            << command.Synopsis << "\n\n"
            << command.Summary << "\n";
  if (!command.Flags.empty())
    std::cout << "\nflags:\n";
  for (const std::string_view it : command.Flags)
    printFlag(it);
}

void printOverview(std::ostream &out, std::span<const Command> commands) {
  out << "usage: " << Program << " COMMAND [FLAGS] [ARGUMENTS]\n\ncommands:\n";
  for (const Command &it : commands)
    out << "  " << it.Name << " " << it.Synopsis << "\n      " << it.Summary
        << "\n";
  out << "\n" << Program << " COMMAND --help describes one command.\n";
}

/// Returns the flags that were set on the command line, belong to some other
/// command, and are not accepted by this one.
std::vector<std::string> unsupportedFlags(std::span<const Command> commands,
                                          const Command &command) {
  std::vector<std::string> unsupported;
  for (const Command &other : commands) {
    for (const std::string_view flag : other.Flags) {
      const bool known = std::find(command.Flags.begin(), command.Flags.end(),
                                   flag) != command.Flags.end();
      const std::string name(flag);
      const bool listed = std::find(unsupported.begin(), unsupported.end(),
                                    name) != unsupported.end();
      if (!known && !listed && isSet(name.c_str()))
        unsupported.push_back(name);
    }
  }
  return unsupported;
}

} // namespace

ExitCode failUsage(std::string_view message) {
  std::cerr << Program << ": " << message << "\n";
  return ExitCode::Usage;
}

ExitCode runCommand(std::span<const Command> commands,
                    const Arguments &arguments) {
  const bool help = isSet("help");
  if (arguments.empty()) {
    printOverview(help ? std::cout : std::cerr, commands);
    return help ? ExitCode::Success : ExitCode::Usage;
  }
  const auto command =
      std::find_if(commands.begin(), commands.end(), [&](const Command &x) {
        return x.Name == arguments.front();
      });
  if (command == commands.end()) {
    failUsage("unknown command '" + arguments.front() + "'");
    printOverview(std::cerr, commands);
    return ExitCode::Usage;
  }
  if (help) {
    printHelp(*command);
    return ExitCode::Success;
  }
  const auto unsupported = unsupportedFlags(commands, *command);
  if (!unsupported.empty())
    return failUsage("command '" + std::string(command->Name) +
                     "' does not accept flag --" + unsupported.front());
  return command->Run({arguments.begin() + 1, arguments.end()});
}

} // namespace cowslipridge::ctl
