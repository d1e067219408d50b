#include "cowslipridge/limits/RetryWindow.hpp"

#include <algorithm>

namespace cowslipridge::limits {

namespace {

/// Part of the budget that is left unused, since members come and go and see
/// the window's edges at different times.
constexpr double Reserve = 0.2;

} // namespace

RetryWindow::RetryWindow(RetryWindowSettings settings) : Settings(settings) {}

void RetryWindow::setMembers(std::size_t members) {
  Members = std::max<std::size_t>(1, members);
}

void RetryWindow::onFirstAttempt(core::Millis now) {
  expire(now);
  Firsts.push_back(now);
}

double RetryWindow::remaining(core::Millis now) {
  expire(now);
  const double allowed =
      (1 - Reserve) *
      (Settings.PerRequest * static_cast<double>(Firsts.size()) +
       Settings.Fixed / static_cast<double>(Members));
  return allowed - static_cast<double>(Repeats.size());
}

bool RetryWindow::tryAcquire(core::Millis now) {
  if (remaining(now) < 1)
    return false;
  Repeats.push_back(now);
  return true;
}

void RetryWindow::expire(core::Millis now) {
  const core::Millis oldest = now - Settings.Window;
  const auto drop = [&](std::deque<core::Millis> &times) {
    while (!times.empty() && times.front() < oldest)
      times.pop_front();
  };
  drop(Firsts);
  drop(Repeats);
}

} // namespace cowslipridge::limits
