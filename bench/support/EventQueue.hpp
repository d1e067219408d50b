#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

/// Parts that the experiments share.
namespace cowslipridge::bench {

/// Runs actions in the order of their time; equal times in the order in which
/// they were added.
class EventQueue {
public:
  using Action = std::function<void()>;

  void at(core::Millis time, Action action);
  void after(core::Millis delay, Action action) {
    at(Time + delay, std::move(action));
  }
  /// Runs all actions up to and including `end`.
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
  std::uint64_t Added = 0;
};

} // namespace cowslipridge::bench
