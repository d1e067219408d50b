#include "cowslipridge/limits/RetryWindow.hpp"

#include <algorithm>

namespace cowslipridge::limits {

namespace {

/// Share of the budget that is left unused, because the number of members
/// changes and members do not see the window start and end at the same time.
constexpr double ReservedShare = 0.2;
/// The windows that have begun and not ended are judged in so many groups.
constexpr int WindowSteps = 40;
/// An attempt without a response counts as one that never arrives after this
/// time.
constexpr core::Millis MaxArrivalTime{30'000};

} // namespace

RetryWindow::RetryWindow(RetryWindowSettings settings,
                         std::optional<Registration> registration)
    : Settings(settings), Registered(registration) {}

void RetryWindow::setMembers(std::size_t members) {
  members = std::max<std::size_t>(1, members);
  if (members >= Members) {
    Members = members;
    Removed.reset();
  } else if (!Removed || members < Removed->Members) {
    Removed = Removal{members, std::nullopt};
  } else {
    Removed->Members = members;
  }
}

void RetryWindow::applyRemoval(core::Millis now) {
  if (!Removed)
    return;
  if (!Removed->At)
    Removed->At = now;
  if (now - *Removed->At < Settings.Window)
    return;
  Members = Removed->Members;
  Removed.reset();
}

double RetryWindow::fixedPart(core::Millis now) const {
  const bool isShared =
      !Registered ||
      (now - Registered->Since >= Settings.Window && now < Registered->Until);
  if (!isShared)
    return 0;
  return Settings.FixedRetries / static_cast<double>(Members);
}

void RetryWindow::onFirstAttempt(core::Millis now) {
  expire(now);
  FirstAttempts.push_back(now);
}

std::size_t RetryWindow::firstAttempts(core::Millis begin,
                                       core::Millis end) const {
  return static_cast<std::size_t>(
      std::ranges::lower_bound(FirstAttempts, end) -
      std::ranges::lower_bound(FirstAttempts, begin));
}

// A retry may come in a later window than the request that it repeats. A window
// is therefore judged by its own requests or by those before it, but not by
// both together. Only those count that are in each of the windows.
double RetryWindow::remainingBetween(core::Millis first, core::Millis last,
                                     core::Millis now) const {
  const core::Millis half = Settings.Window / 2;
  const core::Millis after = now + core::Millis(1);
  const std::size_t requests =
      std::max({firstAttempts(last, after),
                firstAttempts(last - half, std::min(first + half, after)),
                firstAttempts(last - Settings.Window, first)});
  const auto arrived =
      Arrivals.end() - std::ranges::lower_bound(Arrivals, first);
  return (1 - ReservedShare) *
             (Settings.RetriesPerRequest * static_cast<double>(requests) +
              fixedPart(now)) -
         static_cast<double>(Pending.size()) - static_cast<double>(arrived);
}

double RetryWindow::remaining(core::Millis now) {
  expire(now);
  const core::Millis step = Settings.Window / WindowSteps;
  double least = remainingBetween(now, now, now);
  for (core::Millis it = now - Settings.Window; it < now && least >= 1;
       it = it + step)
    least =
        std::min(least, remainingBetween(it, std::min(it + step, now), now));
  return least;
}

bool RetryWindow::isHalfUsed(core::Millis now) {
  return remaining(now) <= static_cast<double>(retries() + 1);
}

RetryWindowState RetryWindow::state(core::Millis now) {
  expire(now);
  return {firstAttempts(now - Settings.Window, now + core::Millis(1)),
          retries(), fixedPart(now) > 0 ? Members : 0};
}

bool RetryWindow::tryAcquire(const Retry &retry, core::Millis now) {
  if (remaining(now) < 1)
    return false;
  Charge charge;
  charge.SentAt = now;
  if (retry.Unanswered)
    charge.PendingAt.push_back(*retry.Unanswered);
  Pending.insert_or_assign(retry.Attempt, std::move(charge));
  return true;
}

void RetryWindow::onSettled(std::uint64_t attempt, core::Millis now) {
  const auto it = Pending.find(attempt);
  if (it == Pending.end())
    return;
  it->second.IsAttemptPending = false;
  if (!it->second.hasArrived())
    return;
  Pending.erase(it);
  Arrivals.push_back(now);
}

void RetryWindow::onUnanswered(std::uint64_t attempt,
                               const core::RunnerId &runner) {
  const auto it = Pending.find(attempt);
  if (it == Pending.end() || !it->second.IsAttemptPending)
    return;
  it->second.IsAttemptPending = false;
  it->second.PendingAt.push_back(runner);
}

void RetryWindow::onResponse(const core::RunnerId &runner, core::Millis sentAt,
                             core::Millis now) {
  for (auto it = Pending.begin();
       it != Pending.end() && it->second.SentAt <= sentAt;) {
    std::erase(it->second.PendingAt, runner);
    if (!it->second.hasArrived()) {
      ++it;
      continue;
    }
    it = Pending.erase(it);
    Arrivals.push_back(now);
  }
}

void RetryWindow::expire(core::Millis now) {
  applyRemoval(now);
  const core::Millis oldest = now - Settings.Window;
  while (!FirstAttempts.empty() &&
         FirstAttempts.front() < oldest - Settings.Window)
    FirstAttempts.pop_front();
  while (!Arrivals.empty() && Arrivals.front() < oldest)
    Arrivals.pop_front();
  while (!Pending.empty() &&
         Pending.begin()->second.SentAt + MaxArrivalTime < oldest)
    Pending.erase(Pending.begin());
}

} // namespace cowslipridge::limits
