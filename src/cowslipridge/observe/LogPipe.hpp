#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cowslipridge::observe {

/// Writes lines to a descriptor without ever waiting for its reader. A line is
/// written whole or not at all, so that the log stays readable.
class LogPipe {
public:
  /// Makes the descriptor non-blocking; does not close it.
  explicit LogPipe(int descriptor);

  /// False when the reader is behind: the line is lost.
  [[nodiscard]] bool write(std::string_view line);

private:
  [[nodiscard]] bool flush();

  int Descriptor;
  std::string Rest; ///< of a line that was begun
};

} // namespace cowslipridge::observe
