#pragma once

#include "cowslipridge/core/Ids.hpp"
#include "support/EventQueue.hpp"

#include <cstdint>
#include <functional>
#include <map>

/// Measures the useful work, fairness and recovery of admission policies under
/// overload.
namespace cowslipridge::bench::overload {

/// Simulates a runner that works at full speed on each of up to `Capacity`
/// calls. More calls share its speed, and each excess call slows it down.
class Server {
public:
  using EndHandler = std::function<void(const core::RequestId &)>;

  Server(EventQueue &events, unsigned capacity, EndHandler onEnd)
      : Events(events), Capacity(capacity), OnEnd(std::move(onEnd)) {}

  /// Starts a call that takes `work` milliseconds when it runs alone.
  void start(const core::RequestId &request, double work);
  /// Cancels a call. Returns the work already spent on it, in milliseconds; 0
  /// if the call is not in progress.
  double stop(const core::RequestId &request, double work);
  [[nodiscard]] std::size_t inFlight() const { return RemainingWork.size(); }
  void setSpeed(double speed);

private:
  [[nodiscard]] double ratePerCall() const;
  void advance();
  void schedule();

  EventQueue &Events;
  unsigned Capacity;
  EndHandler OnEnd;
  std::map<core::RequestId, double> RemainingWork; ///< in milliseconds, by call
  double Speed = 1;
  core::Millis AdvancedAt;
  std::uint64_t Epoch = 0;
};

} // namespace cowslipridge::bench::overload
