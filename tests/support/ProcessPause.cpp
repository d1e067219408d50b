#include "support/ProcessPause.hpp"

#include <csignal>
#include <ctime>
#include <sys/wait.h>
#include <unistd.h>

namespace cowslipridge::support {

namespace {

void sleepFor(std::chrono::milliseconds length) {
  const auto seconds = std::chrono::floor<std::chrono::seconds>(length);
  const timespec wait = {seconds.count(),
                         std::chrono::nanoseconds(length - seconds).count()};
  ::nanosleep(&wait, nullptr);
}

} // namespace

// The child of a process with threads may only call async-signal-safe
// functions.
ProcessPause::ProcessPause(std::chrono::milliseconds delay,
                           std::chrono::milliseconds length) {
  const pid_t parent = ::getpid();
  Child = ::fork();
  if (Child != 0)
    return;
  sleepFor(delay);
  ::kill(parent, SIGSTOP);
  sleepFor(length);
  ::kill(parent, SIGCONT);
  ::_exit(0);
}

ProcessPause::~ProcessPause() { ::waitpid(Child, nullptr, 0); }

} // namespace cowslipridge::support
