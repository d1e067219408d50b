#pragma once

#include "cowslipridge/core/Ids.hpp"
#include "support/EventQueue.hpp"

#include <cstdint>
#include <functional>
#include <map>

/// Useful work, fairness and recovery of admission policies under overload.
namespace cowslipridge::bench::overload {

/// A runner that works at full speed on up to `Capacity` calls, shares its
/// speed among more, and loses some of it to each one over.
class Server {
public:
  using OnEnd = std::function<void(const core::RequestId &)>;

  Server(EventQueue &events, unsigned capacity, OnEnd onEnd)
      : Events(events), Capacity(capacity), Ended(std::move(onEnd)) {}

  /// `work` is the time that the call takes alone, in milliseconds.
  void start(const core::RequestId &request, double work);
  /// Returns the work already spent on the call.
  double stop(const core::RequestId &request, double work);
  [[nodiscard]] std::size_t inFlight() const { return Left.size(); }
  void setSpeed(double speed);

private:
  [[nodiscard]] double ratePerCall() const;
  void advance();
  void schedule();

  EventQueue &Events;
  unsigned Capacity;
  OnEnd Ended;
  std::map<core::RequestId, double> Left; ///< work, in milliseconds
  double Speed = 1;
  core::Millis AdvancedAt;
  std::uint64_t Epoch = 0;
};

} // namespace cowslipridge::bench::overload
