#include "support/EventQueue.hpp"

namespace cowslipridge::bench {

void EventQueue::at(core::Millis time, Action action) {
  Events.push({time, NextOrder++, std::move(action)});
}

void EventQueue::runUntil(core::Millis end) {
  while (!Events.empty() && Events.top().Time <= end) {
    const Event event = Events.top();
    Events.pop();
    Time = event.Time;
    event.Run();
  }
  Time = end;
}

} // namespace cowslipridge::bench
