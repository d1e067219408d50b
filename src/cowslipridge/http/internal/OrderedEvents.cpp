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
    Pending.emplace_back(Head{status, std::move(fields)});
    for (Chunk &it : ChunksBeforeHead)
      Pending.emplace_back(std::move(it));
    ChunksBeforeHead.clear();
  }
  deliver();
}

void OrderedEvents::chunk(std::string bytes) {
  {
    const std::lock_guard lock(Guard);
    if (EndSeen)
      return;
    if (!HeadSeen) {
      ChunksBeforeHead.push_back({std::move(bytes)});
      return;
    }
    Pending.emplace_back(Chunk{std::move(bytes)});
  }
  deliver();
}

void OrderedEvents::end(std::error_code ec, SendStage stage) {
  {
    const std::lock_guard lock(Guard);
    if (EndSeen)
      return;
    EndSeen = true;
    Pending.emplace_back(End{ec, stage});
  }
  deliver();
}

void OrderedEvents::deliver() {
  std::unique_lock lock(Guard);
  if (Delivering)
    return;
  Delivering = true;
  while (!Pending.empty()) {
    Event event = std::move(Pending.front());
    Pending.pop_front();
    lock.unlock();
    dispatch(std::move(event));
    lock.lock();
  }
  Delivering = false;
}

void OrderedEvents::dispatch(Event event) {
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
