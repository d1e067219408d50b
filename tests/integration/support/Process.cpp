#include "Process.hpp"

#include "support/Waiting.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <system_error>
#include <utility>

namespace cowslipridge::integration {

namespace {

constexpr int SignalExitBase = 128;

std::vector<char *> pointersTo(std::vector<std::string> &texts) {
  std::vector<char *> pointers;
  pointers.reserve(texts.size() + 1);
  for (std::string &it : texts)
    pointers.push_back(it.data());
  pointers.push_back(nullptr);
  return pointers;
}

} // namespace

Process::Process(const std::string &program,
                 const std::vector<std::string> &arguments, std::string logPath)
    : LogPath(std::move(logPath)) {
  std::vector<std::string> texts = {program};
  texts.insert(texts.end(), arguments.begin(), arguments.end());
  posix_spawn_file_actions_t files;
  ::posix_spawn_file_actions_init(&files);
  ::posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, LogPath.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
  ::posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  // A process that inherits the test's listening sockets keeps their addresses
  // in use after the test has closed them.
  ::posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
  const int rc = ::posix_spawn(&Pid, program.c_str(), &files, nullptr,
                               pointersTo(texts).data(), environ);
  ::posix_spawn_file_actions_destroy(&files);
  if (rc != 0)
    throw std::system_error(rc, std::generic_category(),
                            "cannot start " + program);
}

Process::~Process() { kill(); }

void Process::send(int signal) const {
  if (!ExitCode)
    ::kill(Pid, signal);
}

void Process::terminate() const { send(SIGTERM); }

void Process::suspend() const { send(SIGSTOP); }

void Process::resume() const { send(SIGCONT); }

void Process::kill() {
  send(SIGKILL);
  waitForExit(support::AwaitTimeout);
}

bool Process::running() {
  if (ExitCode)
    return false;
  int status = 0;
  if (::waitpid(Pid, &status, WNOHANG) != Pid)
    return true;
  ExitCode = WIFEXITED(status) ? WEXITSTATUS(status)
                               : SignalExitBase + WTERMSIG(status);
  return false;
}

std::optional<int> Process::waitForExit(std::chrono::milliseconds limit) {
  support::eventually([this] { return !running(); }, limit);
  return ExitCode;
}

std::string Process::log() const {
  const std::ifstream in(LogPath);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

TempDir::TempDir() {
  const auto base =
      std::filesystem::temp_directory_path() / "cowslipridge-XXXXXX";
  std::string name = base.string();
  if (::mkdtemp(name.data()) == nullptr)
    throw std::system_error(errno, std::generic_category(), "mkdtemp");
  Root = name;
}

TempDir::~TempDir() {
  if (std::getenv("COWSLIPRIDGE_KEEP_LOGS") != nullptr) {
    std::cout << "logs kept in " << Root << "\n";
    return;
  }
  std::error_code ec;
  std::filesystem::remove_all(Root, ec);
}

std::string TempDir::path(const std::string &name) const {
  return Root + "/" + name;
}

std::string TempDir::write(const std::string &name,
                           const std::string &text) const {
  std::string file = path(name);
  std::ofstream(file) << text;
  return file;
}

} // namespace cowslipridge::integration
