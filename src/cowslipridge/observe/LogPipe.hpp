#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cowslipridge::observe {

/// Writes lines to a file descriptor without ever blocking on a slow reader. A
/// line is written completely or not at all, so that the log stays readable.
class LogPipe {
public:
  /// Makes the descriptor non-blocking; does not close it.
  explicit LogPipe(int descriptor);

  /// Returns false when the reader is too slow; the line is dropped.
  [[nodiscard]] bool write(std::string_view line);

private:
  /// Writes the buffered bytes; returns true when none are left.
  [[nodiscard]] bool flush();

  int Descriptor;
  std::string Unwritten; ///< rest of a line that was written in part
};

} // namespace cowslipridge::observe
