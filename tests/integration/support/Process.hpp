#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace cowslipridge::integration {

/// A child process, killed by the destructor if it still runs.
class Process {
public:
  /// Starts `program`. `arguments` excludes the program's name. Standard output
  /// and error go to the file `logPath`.
  Process(const std::string &program, const std::vector<std::string> &arguments,
          std::string logPath);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  void terminate() const; ///< sends SIGTERM
  void kill();            ///< sends SIGKILL and waits for the exit
  void suspend() const;   ///< sends SIGSTOP
  void resume() const;    ///< sends SIGCONT

  [[nodiscard]] pid_t pid() const { return Pid; }
  [[nodiscard]] bool running();
  /// Returns the exit code (128 + signal if killed by one), or nothing if the
  /// process still runs after `limit`.
  std::optional<int> waitForExit(std::chrono::milliseconds limit);
  [[nodiscard]] std::string log() const;

private:
  void send(int signal) const;

  std::string LogPath;
  pid_t Pid = -1;
  std::optional<int> ExitCode;
};

/// A temporary directory, removed recursively by the destructor.
class TempDir {
public:
  TempDir();
  ~TempDir();
  TempDir(const TempDir &) = delete;
  TempDir &operator=(const TempDir &) = delete;

  [[nodiscard]] std::string path(const std::string &name) const;
  /// Writes a file and returns its path.
  [[nodiscard]] std::string write(const std::string &name,
                                  const std::string &text) const;

private:
  std::string Root;
};

} // namespace cowslipridge::integration
