#include "cowslipridge/observe/LogPipe.hpp"

#include <fcntl.h>
#include <unistd.h>

namespace cowslipridge::observe {

LogPipe::LogPipe(int descriptor) : Descriptor(descriptor) {
  const int flags = fcntl(Descriptor, F_GETFL);
  if (flags >= 0)
    fcntl(Descriptor, F_SETFL, flags | O_NONBLOCK);
}

bool LogPipe::flush() {
  while (!Unwritten.empty()) {
    const ssize_t n = ::write(Descriptor, Unwritten.data(), Unwritten.size());
    if (n <= 0)
      return false;
    Unwritten.erase(0, static_cast<std::size_t>(n));
  }
  return true;
}

bool LogPipe::write(std::string_view line) {
  if (!flush())
    return false;
  Unwritten = line;
  Unwritten += '\n';
  const std::size_t size = Unwritten.size();
  if (!flush() && Unwritten.size() == size) {
    Unwritten.clear();
    return false;
  }
  return true;
}

} // namespace cowslipridge::observe
