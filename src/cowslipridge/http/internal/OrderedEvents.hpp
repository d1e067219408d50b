#pragma once

#include "cowslipridge/http/Client.hpp"

#include <deque>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

namespace cowslipridge::http::internal {

/// Hands the events of one response on in order and one at a time, although
/// the library reports the head, the body and the end from different threads.
class OrderedEvents {
public:
  explicit OrderedEvents(ResponseEvents events);

  void head(int status, Headers fields);
  /// May come before head(); is then held back until it.
  void chunk(std::string bytes);
  /// The first call wins; whatever comes later is dropped.
  void end(std::error_code ec, SendStage stage);

private:
  struct Head {
    int Status;
    Headers Fields;
  };
  struct Chunk {
    std::string Bytes;
  };
  struct End {
    std::error_code Error;
    SendStage Stage;
  };
  using Event = std::variant<Head, Chunk, End>;

  void deliver();
  void handOver(Event event);

  ResponseEvents Events;
  std::mutex Guard;
  std::deque<Event> Waiting;
  std::vector<Chunk> Early; ///< chunks that came before the head
  bool HeadSeen = false;
  bool EndSeen = false;
  bool Delivering = false;
};

} // namespace cowslipridge::http::internal
