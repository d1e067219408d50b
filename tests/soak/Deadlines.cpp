#include "soak/Deadlines.hpp"

#include "soak/platform/Callers.hpp"

#include <string>
#include <unordered_map>

namespace cowslipridge::soak {

namespace {

/// By which a runner's time may exceed the caller's.
constexpr core::Millis MaxExcess{500};
/// Requests with more time than that which are allowed.
constexpr std::size_t MaxLongDeadlines = 20;

bool isExcused(const History &history, const CallerAttempt &attempt,
               const RunnerStep &arrival) {
  const std::string gateway = "gateway-" + std::to_string(attempt.Gateway + 1);
  return isInDisruption(history, gateway, arrival.At) ||
         isInDisruption(history, arrival.Runner, arrival.At);
}

} // namespace

std::vector<Violation> findLongDeadlines(const History &history) {
  // A request that was sent again under its id has the later deadline.
  std::unordered_map<std::string, const CallerAttempt *> attempts;
  for (const CallerAttempt &it : history.Attempts)
    attempts.insert_or_assign(it.Id, &it);
  std::vector<Violation> found;
  for (const RunnerStep &it : history.Steps) {
    const auto attempt = attempts.find(it.Id);
    if (!it.Remaining || attempt == attempts.end())
      continue;
    const core::Millis excess =
        it.At + *it.Remaining - (attempt->second->SentAt + CallerDeadline);
    if (excess > MaxExcess && !isExcused(history, *attempt->second, it))
      found.push_back({"DEADLINE", it.At,
                       it.Id + " was handed to " + it.Runner + " with " +
                           std::to_string(excess.count()) + " ms too much"});
  }
  return found.size() > MaxLongDeadlines ? found : std::vector<Violation>();
}

} // namespace cowslipridge::soak
