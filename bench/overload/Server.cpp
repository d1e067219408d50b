#include "overload/Server.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace cowslipridge::bench::overload {

namespace {

/// Part of the speed that each call over the capacity costs.
constexpr double ThrashPerCall = 0.02;
constexpr double Done = 1e-6;

} // namespace

double Server::ratePerCall() const {
  const auto calls = static_cast<double>(Left.size());
  if (calls <= Capacity)
    return Speed;
  return Speed * Capacity / calls / (1 + ThrashPerCall * (calls - Capacity));
}

void Server::advance() {
  const auto elapsed = static_cast<double>((Events.now() - AdvancedAt).count());
  const double worked = elapsed * ratePerCall();
  AdvancedAt = Events.now();
  for (auto &[request, left] : Left)
    left -= worked;
}

void Server::schedule() {
  ++Epoch;
  if (Left.empty())
    return;
  const auto least = std::min_element(
      Left.begin(), Left.end(),
      [](const auto &a, const auto &b) { return a.second < b.second; });
  const double wait = std::max(0.0, least->second) / ratePerCall();
  Events.after(core::Millis(static_cast<std::int64_t>(std::ceil(wait))),
               [this, epoch = Epoch] {
                 if (epoch != Epoch)
                   return;
                 advance();
                 std::vector<core::RequestId> ended;
                 for (const auto &[request, left] : Left) {
                   if (left <= Done)
                     ended.push_back(request);
                 }
                 for (const auto &request : ended)
                   Left.erase(request);
                 schedule();
                 for (const auto &request : ended)
                   Ended(request);
               });
}

void Server::start(const core::RequestId &request, double work) {
  advance();
  Left[request] = work;
  schedule();
}

double Server::stop(const core::RequestId &request, double work) {
  advance();
  const auto it = Left.find(request);
  if (it == Left.end())
    return 0;
  const double spent = work - it->second;
  Left.erase(it);
  schedule();
  return spent;
}

void Server::setSpeed(double speed) {
  advance();
  Speed = speed;
  schedule();
}

} // namespace cowslipridge::bench::overload
