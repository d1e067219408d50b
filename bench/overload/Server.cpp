#include "overload/Server.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace cowslipridge::bench::overload {

namespace {

/// Part by which each call over the capacity slows down the runner.
constexpr double SlowdownPerExcessCall = 0.02;
/// Remaining work below which a call is complete, in milliseconds.
constexpr double CompletionToleranceMs = 1e-6;

} // namespace

double Server::ratePerCall() const {
  const auto calls = static_cast<double>(RemainingWork.size());
  if (calls <= Capacity)
    return Speed;
  return Speed * Capacity / calls /
         (1 + SlowdownPerExcessCall * (calls - Capacity));
}

void Server::advance() {
  const auto elapsed = static_cast<double>((Events.now() - AdvancedAt).count());
  const double worked = elapsed * ratePerCall();
  AdvancedAt = Events.now();
  for (auto &[request, remaining] : RemainingWork)
    remaining -= worked;
}

void Server::schedule() {
  ++Epoch;
  if (RemainingWork.empty())
    return;
  const auto shortest = std::min_element(
      RemainingWork.begin(), RemainingWork.end(),
      [](const auto &a, const auto &b) { return a.second < b.second; });
  const double wait = std::max(0.0, shortest->second) / ratePerCall();
  Events.after(core::Millis(static_cast<std::int64_t>(std::ceil(wait))),
               [this, epoch = Epoch] {
                 if (epoch != Epoch)
                   return;
                 advance();
                 std::vector<core::RequestId> ended;
                 for (const auto &[request, remaining] : RemainingWork) {
                   if (remaining <= CompletionToleranceMs)
                     ended.push_back(request);
                 }
                 for (const auto &request : ended)
                   RemainingWork.erase(request);
                 schedule();
                 for (const auto &request : ended)
                   OnEnd(request);
               });
}

void Server::start(const core::RequestId &request, double work) {
  advance();
  RemainingWork[request] = work;
  schedule();
}

double Server::stop(const core::RequestId &request, double work) {
  advance();
  const auto it = RemainingWork.find(request);
  if (it == RemainingWork.end())
    return 0;
  const double spent = work - it->second;
  RemainingWork.erase(it);
  schedule();
  return spent;
}

void Server::setSpeed(double speed) {
  advance();
  Speed = speed;
  schedule();
}

} // namespace cowslipridge::bench::overload
