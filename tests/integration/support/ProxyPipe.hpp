#pragma once

#include "FaultProxy.hpp"

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>

namespace cowslipridge::integration {

using Moment = std::chrono::steady_clock::time_point;

/// The bytes of one connection and direction that are on their way.
class ProxyPipe {
public:
  /// Whether to read more from the source.
  [[nodiscard]] bool wantsBytes(const LinkFaults &faults) const;
  /// When the next bytes may be written; nothing when there are none.
  [[nodiscard]] std::optional<Moment> nextWrite(const LinkFaults &faults) const;

  /// Reads from `source`; false when the connection has failed.
  bool readFrom(int source, const LinkFaults &faults, Moment now);
  /// Writes what is due to `sink`; false when the connection has failed.
  bool writeTo(int sink, const LinkFaults &faults, Moment now);
  /// Both ends are done with this direction.
  [[nodiscard]] bool finished() const { return Finished; }

private:
  struct Piece {
    Moment Due;
    std::string Bytes;
  };

  [[nodiscard]] std::size_t allowance(const LinkFaults &faults, Moment now);
  void finishWhenDrained(int sink);

  std::deque<Piece> Pieces;
  std::size_t Held = 0;
  std::size_t Forwarded = 0;
  Moment ThrottledUntil;
  bool SourceEnded = false;
  bool Finished = false;
};

} // namespace cowslipridge::integration
