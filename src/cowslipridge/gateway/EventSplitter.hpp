#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipridge::gateway {

/// One complete event of a stream.
struct StreamEvent {
  std::string_view Bytes; ///< as received; valid until the next push()
  std::optional<std::uint64_t> Id;
  /// Has fields. Without any, it is only empty lines and comments.
  bool HasContent = false;
};

/// Splits a stream of server-sent events into complete events, so that a stream
/// that breaks within an event can resume on another runner without joining
/// parts of two events. The work is linear in the bytes received.
class EventSplitter {
public:
  /// Adds data and returns the events that it completes. Adjacent ones without
  /// content are one.
  std::vector<StreamEvent> push(std::string_view data);
  /// Whether the last event is still incomplete.
  [[nodiscard]] bool hasPartial() const { return Begin < Buffer.size(); }
  /// Returns the size of the incomplete event.
  [[nodiscard]] std::size_t partialBytes() const {
    return Buffer.size() - Begin;
  }
  void clear();
  /// Returns how many bytes were moved within the buffer so far.
  [[nodiscard]] std::uint64_t bytesMoved() const { return Moved; }

private:
  void dropComplete();
  void parseLine(std::string_view line);
  void addEvent(std::size_t end, std::vector<StreamEvent> &events);

  std::string Buffer;
  std::size_t Begin = 0;     ///< of the incomplete event
  std::size_t LineBegin = 0; ///< of the incomplete line
  std::optional<std::uint64_t> Id;
  bool HasContent = false;
  std::uint64_t Moved = 0;
};

} // namespace cowslipridge::gateway
