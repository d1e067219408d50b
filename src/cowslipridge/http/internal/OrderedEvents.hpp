#pragma once

#include "cowslipridge/http/Client.hpp"

#include <deque>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

namespace cowslipridge::http::internal {

/// Delivers the events of one response in order and one at a time. cpprestsdk
/// reports the head, the body and the end from different threads.
class OrderedEvents {
public:
  explicit OrderedEvents(ResponseEvents events);

  void head(int status, Headers fields);
  /// May be called before head(); the chunk is then delivered after the head.
  void chunk(std::string bytes);
  /// The first call takes effect; later events are dropped.
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
  void dispatch(Event event);

  ResponseEvents Events;
  std::mutex Guard;
  std::deque<Event> Pending;
  std::vector<Chunk> ChunksBeforeHead; ///< received before the head
  bool HeadSeen = false;
  bool EndSeen = false;
  bool Delivering = false;
};

} // namespace cowslipridge::http::internal
