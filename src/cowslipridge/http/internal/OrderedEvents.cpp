#include "cowslipridge/http/internal/OrderedEvents.hpp"

#include "cowslipridge/core/Visit.hpp"

#include <utility>

namespace cowslipridge::http::internal {

OrderedEvents::OrderedEvents(ResponseEvents events)
    : Events(std::move(events)) {}

void OrderedEvents::head(int status, Headers fields) {
  {
    const std::lock_guard lock(Guard);
    if (EndSeen || HeadSeen)
      return;
    HeadSeen = true;
    Waiting.emplace_back(Head{status, std::move(fields)});
    for (Chunk &it : Early)
      Waiting.emplace_back(std::move(it));
    Early.clear();
  }
  deliver();
}

void OrderedEvents::chunk(std::string bytes) {
  {
    const std::lock_guard lock(Guard);
    if (EndSeen)
      return;
    if (!HeadSeen) {
      Early.push_back({std::move(bytes)});
      return;
    }
    Waiting.emplace_back(Chunk{std::move(bytes)});
  }
  deliver();
}

void OrderedEvents::end(std::error_code ec, SendStage stage) {
  {
    const std::lock_guard lock(Guard);
    if (EndSeen)
      return;
    EndSeen = true;
    Waiting.emplace_back(End{ec, stage});
  }
  deliver();
}

void OrderedEvents::deliver() {
  std::unique_lock lock(Guard);
  if (Delivering)
    return;
  Delivering = true;
  while (!Waiting.empty()) {
    Event event = std::move(Waiting.front());
    Waiting.pop_front();
    lock.unlock();
    handOver(std::move(event));
    lock.lock();
  }
  Delivering = false;
}

void OrderedEvents::handOver(Event event) {
  std::visit(core::Overloaded{[this](Head &it) {
                                if (Events.OnHead)
                                  Events.OnHead(it.Status, it.Fields);
                              },
                              [this](Chunk &it) {
                                if (Events.OnChunk)
                                  Events.OnChunk(std::move(it.Bytes));
                              },
                              [this](const End &it) {
                                const ResponseEvents last = std::move(Events);
                                Events = {};
                                if (last.OnEnd)
                                  last.OnEnd(it.Error, it.Stage);
                              }},
             event);
}

} // namespace cowslipridge::http::internal
