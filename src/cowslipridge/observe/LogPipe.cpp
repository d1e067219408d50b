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
  while (!Rest.empty()) {
    const ssize_t n = ::write(Descriptor, Rest.data(), Rest.size());
    if (n <= 0)
      return false;
    Rest.erase(0, static_cast<std::size_t>(n));
  }
  return true;
}

bool LogPipe::write(std::string_view line) {
  if (!flush())
    return false;
  Rest = line;
  Rest += '\n';
  const std::size_t whole = Rest.size();
  if (!flush() && Rest.size() == whole) {
    Rest.clear();
    return false;
  }
  return true;
}

} // namespace cowslipridge::observe
