#include "cowslipridge/limits/RetryWindow.hpp"

#include <algorithm>

namespace cowslipridge::limits {

namespace {

/// Share of the budget that is left unused, because the number of members
/// changes and members do not see the window start and end at the same time.
constexpr double ReservedShare = 0.2;

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

double RetryWindow::remaining(core::Millis now) {
  expire(now);
  const double allowed =
      (1 - ReservedShare) *
      (Settings.RetriesPerRequest * static_cast<double>(FirstAttempts.size()) +
       fixedPart(now));
  return allowed - static_cast<double>(Retries.size());
}

RetryWindowState RetryWindow::state(core::Millis now) {
  expire(now);
  return {FirstAttempts.size(), Retries.size(),
          fixedPart(now) > 0 ? Members : 0};
}

bool RetryWindow::tryAcquire(core::Millis now) {
  if (remaining(now) < 1)
    return false;
  Retries.push_back(now);
  return true;
}

void RetryWindow::expire(core::Millis now) {
  applyRemoval(now);
  const core::Millis oldest = now - Settings.Window;
  const auto drop = [&](std::deque<core::Millis> &times) {
    while (!times.empty() && times.front() < oldest)
      times.pop_front();
  };
  drop(FirstAttempts);
  drop(Retries);
}

} // namespace cowslipridge::limits
