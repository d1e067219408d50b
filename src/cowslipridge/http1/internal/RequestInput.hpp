#pragma once

#include "cowslipridge/http1/RequestParser.hpp"
#include "cowslipridge/http1/internal/BodyRoom.hpp"
#include "cowslipridge/http1/internal/FreeText.hpp"
#include "cowslipridge/http1/internal/ServerContext.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cowslipridge::http1::internal {

/// What a connection has received: the current request, as far as it has come,
/// and the bytes behind it. Without I/O.
class RequestInput {
public:
  explicit RequestInput(std::shared_ptr<ServerContext> context);

  /// Adds bytes that were read.
  void append(std::string_view bytes);
  /// Parses the current request as far as it was received.
  ParseStatus parse();
  /// Prepares for the next request.
  void restart();
  /// Frees all but the head of the current request, which is rejected.
  void discard();
  /// Frees the bytes that wait to be parsed.
  void clear() { freeText(Bytes); }

  [[nodiscard]] bool isEmpty() const { return Bytes.empty(); }
  [[nodiscard]] std::size_t unparsedBytes() const { return Bytes.size(); }
  /// Returns whether a part of the current request was received.
  [[nodiscard]] bool hasBegun() const { return Begun; }
  [[nodiscard]] bool headDone() const { return Parser->headDone(); }
  /// Requires headDone().
  [[nodiscard]] const RequestHead &head() const { return Parser->head(); }
  /// Returns the head, or null until it is received.
  [[nodiscard]] const RequestHead *headIfDone() const {
    return headDone() ? &head() : nullptr;
  }
  /// Returns true at its first call for the current request.
  bool isHeadNew() { return !std::exchange(HeadSeen, true); }
  /// Returns true at its first call for a request whose client waits for
  /// permission to send the body.
  bool mustSendContinue();

  /// Returns whether there is room for the body of the current request. If not,
  /// `onRoom` is called once there is.
  bool requestRoom(std::function<void()> onRoom);
  [[nodiscard]] bool isWaitingForRoom() const { return Room.isWaiting(); }
  /// Returns whether the body holds room in the budget before it is complete.
  [[nodiscard]] bool holdsRoom() const { return Room.heldBytes() != 0; }
  void releaseRoom() { Room.release(); }
  /// Handles that the room was granted which requestRoom() waited for.
  void onRoom();
  /// Returns the complete body, which holds its room as long as it exists.
  std::shared_ptr<const std::string> takeBody();

  /// Returns when the first bytes of the current request were read, or when the
  /// response before it was written.
  [[nodiscard]] core::Millis begunAt() const { return BegunAt; }
  /// Returns when bytes worth mentioning had been received last.
  [[nodiscard]] core::Millis progressAt() const { return ProgressAt; }
  /// Returns the bytes of memory that are held, but for a body with room.
  [[nodiscard]] std::size_t heldBytes() const;
  [[nodiscard]] std::size_t heldHeadBytes() const {
    return Parser->heldHeadBytes();
  }
  [[nodiscard]] std::size_t roomBytes() const { return Room.heldBytes(); }

private:
  /// Returns the bytes that the body of the current request may take up.
  [[nodiscard]] std::size_t expectedBodyBytes() const;

  std::shared_ptr<ServerContext> Context;
  BodyRoom Room;
  std::optional<RequestParser> Parser;
  std::string Bytes; ///< not parsed yet
  bool Begun = false;
  bool HeadSeen = false;
  bool ContinueSent = false;
  core::Millis LastReadAt;
  core::Millis BegunAt;
  core::Millis ProgressAt;
  std::size_t ProgressBytes = 0; ///< received since
};

} // namespace cowslipridge::http1::internal
