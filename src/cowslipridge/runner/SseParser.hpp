#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipridge::runner {

/// One server-sent event.
struct SseEvent {
  std::string Name; ///< `event:` field; empty if there is none
  std::string Data; ///< `data:` lines joined with line feeds
  friend auto operator<=>(const SseEvent &, const SseEvent &) = default;
};

/// Incrementally splits a byte stream into server-sent events. The result does
/// not depend on where the chunks of the stream end.
class SseParser {
public:
  /// Largest accepted event, in bytes.
  static constexpr std::size_t MaxEventBytes = 1'048'576;

  /// Parses the next bytes and returns the events that they complete.
  std::vector<SseEvent> feed(std::string_view bytes);
  /// Returns true after an event has exceeded the limit. Further bytes are
  /// ignored.
  [[nodiscard]] bool failed() const { return Failed; }
  /// Returns true if an event has begun and is not complete yet.
  [[nodiscard]] bool midEvent() const;

private:
  void consumeByte(char byte, std::vector<SseEvent> &events);
  void consumeLine(std::vector<SseEvent> &events);
  void consumeField(std::string_view name, std::string_view value);

  std::string Line;
  SseEvent Current;
  bool HasData = false;
  bool AfterReturn = false; ///< the last byte was a carriage return
  bool AtStart = true;      ///< no line has ended yet
  bool Failed = false;
};

} // namespace cowslipridge::runner
