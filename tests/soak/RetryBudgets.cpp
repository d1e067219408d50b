#include "soak/RetryBudgets.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>

namespace cowslipridge::soak {

namespace {

using standins::platform::RequestStep;

/// Step in which the windows are moved.
constexpr core::Millis WindowStep{100};

/// Times of the requests of a service and of their arrivals beyond the first,
/// both in order.
struct Traffic {
  std::vector<core::Millis> Requests;
  std::vector<core::Millis> Repeats;
};

std::size_t countBetween(const std::vector<core::Millis> &times,
                         core::Millis begin, core::Millis end) {
  return static_cast<std::size_t>(std::ranges::lower_bound(times, end) -
                                  std::ranges::lower_bound(times, begin));
}

std::map<std::string, Traffic> trafficByService(const History &history) {
  std::map<std::string, Traffic> traffic;
  std::set<std::string> sent;
  std::vector<CallerAttempt> attempts = history.Attempts;
  std::ranges::stable_sort(attempts, {}, &CallerAttempt::SentAt);
  for (const CallerAttempt &it : attempts) {
    if (sent.insert(it.Id).second)
      traffic[it.Service].Requests.push_back(it.SentAt);
  }
  std::vector<RunnerStep> arrivals;
  std::ranges::copy_if(
      history.Steps, std::back_inserter(arrivals),
      [](const auto &it) { return it.Step == RequestStep::Arrived; });
  std::ranges::stable_sort(arrivals, {}, &RunnerStep::At);
  std::set<std::string> arrived;
  for (const RunnerStep &it : arrivals) {
    if (!arrived.insert(it.Id).second)
      traffic[it.Service].Repeats.push_back(it.At);
  }
  return traffic;
}

// The requests are those of the window, of the one before it or of the one
// half a window before it, whichever has most.
FullestWindow windowAt(const Traffic &traffic, const PromiseLimits &limits,
                       core::Millis begin) {
  const core::Millis length = limits.RetryWindow;
  const auto requestsFrom = [&](core::Millis at) {
    return countBetween(traffic.Requests, at, at + length);
  };
  FullestWindow window;
  window.At = begin;
  window.Requests =
      std::max({requestsFrom(begin), requestsFrom(begin - length / 2),
                requestsFrom(begin - length)});
  window.Repeats = countBetween(traffic.Repeats, begin, begin + length);
  window.Allowed = limits.RetryRatio * static_cast<double>(window.Requests) +
                   limits.RetryAllowance;
  return window;
}

FullestWindow fullestWindow(const Traffic &traffic,
                            const PromiseLimits &limits) {
  FullestWindow fullest = windowAt(traffic, limits, traffic.Requests.front());
  const core::Millis last = std::max(
      traffic.Requests.back(),
      traffic.Repeats.empty() ? core::Millis() : traffic.Repeats.back());
  for (core::Millis at = traffic.Requests.front(); at <= last;
       at = at + WindowStep) {
    const FullestWindow window = windowAt(traffic, limits, at);
    if (window.share() > fullest.share())
      fullest = window;
  }
  return fullest;
}

} // namespace

std::vector<FullestWindow> fullestWindows(const History &history,
                                          const PromiseLimits &limits) {
  std::vector<FullestWindow> windows;
  for (const auto &[service, traffic] : trafficByService(history)) {
    if (traffic.Requests.empty())
      continue;
    windows.push_back(fullestWindow(traffic, limits));
    windows.back().Service = service;
  }
  return windows;
}

std::vector<Violation> findExceededBudgets(const History &history,
                                           const PromiseLimits &limits) {
  std::vector<Violation> found;
  for (const FullestWindow &it : fullestWindows(history, limits)) {
    if (static_cast<double>(it.Repeats) > it.Allowed)
      found.push_back({"BUDGET", it.At,
                       it.Service + " got " + std::to_string(it.Repeats) +
                           " repeats in a window, allowed " +
                           std::to_string(it.Allowed)});
  }
  return found;
}

} // namespace cowslipridge::soak
