#pragma once

#include "FaultProxy.hpp"

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>

namespace cowslipridge::integration {

using TimePoint = std::chrono::steady_clock::time_point;

/// The buffered bytes of one direction of a proxied connection.
class ProxyPipe {
public:
  /// Returns whether the pipe has capacity for more bytes from the source.
  [[nodiscard]] bool wantsBytes(const LinkFaults &faults) const;
  /// Returns when the next bytes may be written, or nothing if none may.
  [[nodiscard]] std::optional<TimePoint>
  nextWrite(const LinkFaults &faults) const;

  /// Reads from `source`; false if the connection has failed.
  bool readFrom(int source, const LinkFaults &faults, TimePoint now);
  /// Writes the bytes that are due to `sink`; false if the connection has
  /// failed.
  bool writeTo(int sink, const LinkFaults &faults, TimePoint now);
  /// Returns whether the source has ended and all bytes have been written.
  [[nodiscard]] bool finished() const { return Finished; }

private:
  struct Chunk {
    TimePoint Due;
    std::string Bytes;
  };

  [[nodiscard]] std::size_t allowance(const LinkFaults &faults, TimePoint now);
  void finishWhenDrained(int sink);

  std::deque<Chunk> Chunks;
  std::size_t BufferedBytes = 0;
  std::size_t Forwarded = 0;
  TimePoint ThrottledUntil;
  bool SourceEnded = false;
  bool Finished = false;
};

} // namespace cowslipridge::integration
