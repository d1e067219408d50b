#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace cowslipridge::integration {

/// A program that this test started; killed at the latest when it goes out of
/// scope.
class Process {
public:
  /// `arguments` without the program's name. Standard output and error go to
  /// the file `logPath`.
  Process(const std::string &program, const std::vector<std::string> &arguments,
          std::string logPath);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  void terminate() const; ///< SIGTERM
  void kill();            ///< SIGKILL, and waits for the end
  void freeze() const;    ///< SIGSTOP
  void thaw() const;      ///< SIGCONT

  [[nodiscard]] bool running();
  /// The exit code (128 + signal when killed), or nothing within `limit`.
  std::optional<int> waitForExit(std::chrono::milliseconds limit);
  [[nodiscard]] std::string log() const;

private:
  void send(int signal) const;

  std::string LogPath;
  pid_t Pid = -1;
  std::optional<int> ExitCode;
};

/// A folder that is removed with all that is in it.
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
