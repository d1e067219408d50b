#include "ProxyPipe.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace cowslipridge::integration {

namespace {

constexpr std::size_t MaxBufferedBytes = std::size_t{256} * 1024;
constexpr std::size_t ReadBufferBytes = std::size_t{16} * 1024;
/// Writes per second of a throttled direction.
constexpr std::size_t WritesPerSecond = 50;

bool isRetryable(int error) {
  return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

} // namespace

bool ProxyPipe::wantsBytes(const LinkFaults &faults) const {
  return !SourceEnded && !faults.Blocked && BufferedBytes < MaxBufferedBytes;
}

std::optional<TimePoint> ProxyPipe::nextWrite(const LinkFaults &faults) const {
  if (faults.Blocked || Chunks.empty())
    return std::nullopt;
  return std::max(Chunks.front().Due, ThrottledUntil);
}

bool ProxyPipe::readFrom(int source, const LinkFaults &faults, TimePoint now) {
  std::array<char, ReadBufferBytes> buf = {};
  const auto n = ::recv(source, buf.data(), buf.size(), MSG_DONTWAIT);
  if (n < 0)
    return isRetryable(errno);
  if (n == 0) {
    SourceEnded = true;
    return true;
  }
  if (faults.Dropped)
    return true;
  const auto size = static_cast<std::size_t>(n);
  Chunks.push_back({now + faults.Delay, std::string(buf.data(), size)});
  BufferedBytes += size;
  return true;
}

std::size_t ProxyPipe::allowance(const LinkFaults &faults, TimePoint now) {
  std::size_t size = Chunks.front().Bytes.size();
  if (faults.ResetAfterBytes > Forwarded)
    size = std::min(size, faults.ResetAfterBytes - Forwarded);
  if (faults.BytesPerSecond == 0)
    return size;
  ThrottledUntil = now + std::chrono::milliseconds(1000 / WritesPerSecond);
  return std::min(
      size, std::max<std::size_t>(faults.BytesPerSecond / WritesPerSecond, 1));
}

bool ProxyPipe::writeTo(int sink, const LinkFaults &faults, TimePoint now) {
  for (auto due = nextWrite(faults); due && *due <= now;
       due = nextWrite(faults)) {
    std::string &bytes = Chunks.front().Bytes;
    const auto n = ::send(sink, bytes.data(), allowance(faults, now),
                          MSG_DONTWAIT | MSG_NOSIGNAL);
    if (n < 0)
      return isRetryable(errno);
    const auto size = static_cast<std::size_t>(n);
    bytes.erase(0, size);
    BufferedBytes -= size;
    Forwarded += size;
    if (bytes.empty())
      Chunks.pop_front();
    if (faults.ResetAfterBytes != 0 && Forwarded >= faults.ResetAfterBytes)
      return false;
  }
  finishWhenDrained(sink);
  return true;
}

void ProxyPipe::finishWhenDrained(int sink) {
  if (!SourceEnded || !Chunks.empty() || Finished)
    return;
  ::shutdown(sink, SHUT_WR);
  Finished = true;
}

} // namespace cowslipridge::integration
