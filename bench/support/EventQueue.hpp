#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

/// Simulation, statistics and reports that the load experiments share.
namespace cowslipridge::bench {

/// Runs actions in the order of their simulated time; actions with equal times
/// run in the order in which they were added.
class EventQueue {
public:
  using Action = std::function<void()>;

  /// Schedules an action at a simulated time.
  void at(core::Millis time, Action action);
  /// Schedules an action `delay` after the current simulated time.
  void after(core::Millis delay, Action action) {
    at(Time + delay, std::move(action));
  }
  /// Runs all actions up to and including `end`, then sets the time to `end`.
  void runUntil(core::Millis end);
  [[nodiscard]] core::Millis now() const { return Time; }

private:
  struct Event {
    core::Millis Time;
    std::uint64_t Order = 0;
    Action Run;
    bool operator<(const Event &other) const {
      return Time == other.Time ? Order > other.Order : Time > other.Time;
    }
  };

  std::priority_queue<Event> Events;
  core::Millis Time;
  std::uint64_t NextOrder = 0;
};

} // namespace cowslipridge::bench
