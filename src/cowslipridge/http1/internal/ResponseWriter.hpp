#pragma once

#include "cowslipridge/http1/Connection.hpp"
#include "cowslipridge/http1/Message.hpp"
#include "cowslipridge/http1/internal/FreeText.hpp"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace cowslipridge::http1::internal {

/// Serializes the responses of a connection, one after the other, and writes
/// them to its socket.
class ResponseWriter {
public:
  explicit ResponseWriter(Socket &peer) : Peer(peer) {}

  /// Starts a response. `request` is null if its head was not received.
  void begin(const ResponseHead &head, const RequestHead *request);
  void send(std::string_view data);
  void end();
  /// Adds an interim response, ahead of the response.
  void sendInterim(std::string_view text) { Pending += text; }
  /// Prepares for the next response.
  void restart();

  [[nodiscard]] bool hasBegun() const { return Begun; }
  [[nodiscard]] bool hasEnded() const { return Ended; }
  /// Returns the number of bytes not yet written to the socket.
  [[nodiscard]] std::size_t backlog() const {
    return Pending.size() + Writing.size();
  }
  /// Returns the bytes of memory that the backlog takes up.
  [[nodiscard]] std::size_t heldBytes() const {
    return Pending.capacity() + Writing.capacity();
  }

  /// Writes the backlog, unless a write is in progress. `onWritten` is called
  /// when the write ends; it must keep this object alive and call onWritten()
  /// first.
  using WriteHandler = std::function<void(const boost::system::error_code &)>;
  void flush(WriteHandler onWritten);
  void onWritten() { freeText(Writing); }

private:
  Socket &Peer;
  Framing BodyFraming = Framing::None;
  bool IsHeadRequest = false; ///< its response has no body
  bool Begun = false;
  bool Ended = false;
  std::string Pending; ///< bytes to write after `Writing`
  std::string Writing; ///< bytes of the write in progress
};

} // namespace cowslipridge::http1::internal
