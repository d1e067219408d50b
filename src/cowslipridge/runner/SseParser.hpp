#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipridge::runner {

/// One server-sent event.
struct SseEvent {
  std::string Name; ///< of the `event:` field; empty for a plain message
  std::string Data; ///< `data:` lines joined with line feeds
  friend auto operator<=>(const SseEvent &, const SseEvent &) = default;
};

/// Splits a byte stream into server-sent events, wherever its chunks end.
class SseParser {
public:
  /// Largest event that is kept, in bytes.
  static constexpr std::size_t MaxEventBytes = 1'048'576;

  /// Takes the next bytes and returns the events that they complete.
  std::vector<SseEvent> feed(std::string_view bytes);
  /// True after an event was over the limit; nothing more is parsed.
  [[nodiscard]] bool failed() const { return Failed; }
  /// True when the stream stands within an unfinished event.
  [[nodiscard]] bool midEvent() const;

private:
  void takeByte(char byte, std::vector<SseEvent> &events);
  void takeLine(std::vector<SseEvent> &events);
  void takeField(std::string_view name, std::string_view value);

  std::string Line;
  SseEvent Current;
  bool HasData = false;
  bool AfterReturn = false; ///< the last byte was a carriage return
  bool AtStart = true;      ///< no line has ended yet
  bool Failed = false;
};

} // namespace cowslipridge::runner
