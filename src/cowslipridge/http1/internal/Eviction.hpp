#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <cstddef>
#include <optional>
#include <vector>

/// Which connections of a server are closed when it runs out of places or of
/// bytes. Without I/O.
namespace cowslipridge::http1::internal {

/// What a connection is occupied with.
enum class Occupation {
  Idle,      ///< no part of a request was received
  Receiving, ///< a part of a request was received
  Serving,   ///< a request is in progress; the connection is never closed
  Unread,    ///< the response is complete, but not written to the socket; the
             ///< connection is closed only if its client is stalled
  Closing,   ///< the last response was written
};

/// What decides about a connection.
struct ConnectionState {
  Occupation What = Occupation::Idle;
  std::size_t HeldBytes = 0;
  core::Millis WithoutProgress; ///< since bytes worth mentioning have moved
  core::Millis Age;             ///< since the request or the idle time began
};

/// Returns whether the client neither sends its request nor reads its response
/// at a reasonable pace.
[[nodiscard]] bool isStalled(const ConnectionState &state);

/// Returns the index of the connection whose place a new one takes: one that
/// closes, then one that is stalled, then the one that was idle for longest.
/// Returns nothing if none may be closed.
[[nodiscard]] std::optional<std::size_t>
chooseForPlace(const std::vector<ConnectionState> &all);

/// Returns the index of the connection that holds most bytes for its age, of
/// those that hold `minBytes`. Returns nothing if none of these may be closed.
[[nodiscard]] std::optional<std::size_t>
chooseForBytes(const std::vector<ConnectionState> &all, std::size_t minBytes);

} // namespace cowslipridge::http1::internal
