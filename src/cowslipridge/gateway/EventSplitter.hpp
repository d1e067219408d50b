#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipridge::gateway {

/// One whole event of a stream, as its bytes came.
struct StreamEvent {
  std::string Bytes;
  std::optional<std::uint64_t> Id;
};

/// Cuts a stream of server-sent events into whole events, so that a stream that
/// breaks within an event can go on elsewhere without joining halves.
class EventSplitter {
public:
  std::vector<StreamEvent> push(std::string_view data);
  /// Bytes of an event that is not whole yet.
  [[nodiscard]] bool hasPartial() const { return !Partial.empty(); }
  void clear();

private:
  void takeLine(std::string_view line);

  std::string Partial;
  std::size_t LineStart = 0; ///< in Partial
  std::optional<std::uint64_t> Id;
};

} // namespace cowslipridge::gateway
