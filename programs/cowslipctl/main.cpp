// Command-line tool for operators: checks and publishes declarations, and shows
// the state of the fleet.

#include "Commands.hpp"

#include "cowslipridge/http/Server.hpp"

#include <gflags/gflags.h>

#include <iostream>

namespace {

using namespace cowslipridge;
using namespace cowslipridge::ctl;

constexpr std::size_t PoolThreads = 2;

const std::vector<Command> Commands = {
    {"check",
     "FILE...",
     "Checks declarations and settings; prints all findings together.",
     {},
     check},
    {"publish",
     "--store URL --publisher NAME [--base N] [--remove S,...] FILE...",
     "Checks the declarations and puts them in force atomically.",
     {"store", "publisher", "base", "remove"},
     publish},
    {"status",
     "--store URL [--instances URL --admin_key_file FILE]",
     "Prints the configuration in force and the status of each instance.",
     {"store", "instances", "admin_key_file"},
     status},
    {"timeline",
     "[--html] [--request ID] (--instances URL --admin_key_file FILE | LOG...)",
     "Prints the events of all instances, or of logs (-: standard input), as "
     "one timeline with causes before effects.",
     {"instances", "admin_key_file", "html", "request"},
     timeline},
    {"bill",
     "--store URL --service NAME [--unsettled]",
     "Prints the bills of one service, one line per request.",
     {"store", "service", "unsettled"},
     bill},
    {"explain",
     "REQUEST (--instances URL --admin_key_file FILE | LOG...)",
     "Prints the routing decisions of a request; from logs, all its events.",
     {"instances", "admin_key_file"},
     explain},
};

bool isSet(const char *flag) {
  gflags::CommandLineFlagInfo info;
  return gflags::GetCommandLineFlagInfo(flag, &info) && !info.is_default;
}

} // namespace

int main(int argc, char **argv) {
  gflags::SetVersionString(COWSLIPRIDGE_VERSION);
  // runCommand() prints the help per command, without the flags of libraries.
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
  if (isSet("version")) {
    std::cout << "cowslipctl " << gflags::VersionString() << "\n";
    return static_cast<int>(ExitCode::Success);
  }
  http::initializeThreadPool(PoolThreads);
  const Arguments arguments(argv + 1, argv + argc);
  return static_cast<int>(runCommand(Commands, arguments));
}
