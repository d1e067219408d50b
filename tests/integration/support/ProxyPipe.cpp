#include "ProxyPipe.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace cowslipridge::integration {

namespace {

constexpr std::size_t MaxHeldBytes = std::size_t{256} * 1024;
constexpr std::size_t ReadBytes = std::size_t{16} * 1024;
/// A throttled direction sends so many parts a second.
constexpr std::size_t PartsPerSecond = 50;

bool mustWait(int error) {
  return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

} // namespace

bool ProxyPipe::wantsBytes(const LinkFaults &faults) const {
  return !SourceEnded && !faults.Blocked && Held < MaxHeldBytes;
}

std::optional<Moment> ProxyPipe::nextWrite(const LinkFaults &faults) const {
  if (faults.Blocked || Pieces.empty())
    return std::nullopt;
  return std::max(Pieces.front().Due, ThrottledUntil);
}

bool ProxyPipe::readFrom(int source, const LinkFaults &faults, Moment now) {
  std::array<char, ReadBytes> buf = {};
  const auto n = ::recv(source, buf.data(), buf.size(), MSG_DONTWAIT);
  if (n < 0)
    return mustWait(errno);
  if (n == 0) {
    SourceEnded = true;
    return true;
  }
  if (faults.Dropped)
    return true;
  const auto size = static_cast<std::size_t>(n);
  Pieces.push_back({now + faults.Delay, std::string(buf.data(), size)});
  Held += size;
  return true;
}

std::size_t ProxyPipe::allowance(const LinkFaults &faults, Moment now) {
  std::size_t size = Pieces.front().Bytes.size();
  if (faults.ResetAfterBytes > Forwarded)
    size = std::min(size, faults.ResetAfterBytes - Forwarded);
  if (faults.BytesPerSecond == 0)
    return size;
  ThrottledUntil = now + std::chrono::milliseconds(1000 / PartsPerSecond);
  return std::min(
      size, std::max<std::size_t>(faults.BytesPerSecond / PartsPerSecond, 1));
}

bool ProxyPipe::writeTo(int sink, const LinkFaults &faults, Moment now) {
  for (auto due = nextWrite(faults); due && *due <= now;
       due = nextWrite(faults)) {
    std::string &bytes = Pieces.front().Bytes;
    const auto n = ::send(sink, bytes.data(), allowance(faults, now),
                          MSG_DONTWAIT | MSG_NOSIGNAL);
    if (n < 0)
      return mustWait(errno);
    const auto size = static_cast<std::size_t>(n);
    bytes.erase(0, size);
    Held -= size;
    Forwarded += size;
    if (bytes.empty())
      Pieces.pop_front();
    if (faults.ResetAfterBytes != 0 && Forwarded >= faults.ResetAfterBytes)
      return false;
  }
  finishWhenDrained(sink);
  return true;
}

void ProxyPipe::finishWhenDrained(int sink) {
  if (!SourceEnded || !Pieces.empty() || Finished)
    return;
  ::shutdown(sink, SHUT_WR);
  Finished = true;
}

} // namespace cowslipridge::integration
