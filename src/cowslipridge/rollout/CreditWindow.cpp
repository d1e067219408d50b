#include "cowslipridge/rollout/CreditWindow.hpp"

#include <algorithm>

namespace cowslipridge::rollout {

namespace {

/// Time after the start of a request from which its missing grade counts as
/// lost.
constexpr core::Millis GradeTimeout{30'000};

} // namespace

void CreditWindow::onStart(const core::RequestId &request, core::Millis now) {
  Ungraded.emplace(request, now);
}

void CreditWindow::onNotRun(const core::RequestId &request) {
  Ungraded.erase(request);
}

bool CreditWindow::onGrade(const core::RequestId &request, core::Millis now) {
  if (Ungraded.erase(request) > 0) {
    resetReleaseInterval(now);
    if (Lost > 0)
      --Lost;
    return true;
  }
  return false;
}

void CreditWindow::resetReleaseInterval(core::Millis now) {
  ReleaseInterval = GradeTimeout;
  NextRelease = now + ReleaseInterval;
}

void CreditWindow::advance(core::Millis now) {
  Lost += std::erase_if(
      Ungraded, [&](const auto &x) { return now - x.second >= GradeTimeout; });
  if (Lost == 0)
    return;
  if (!NextRelease)
    resetReleaseInterval(now);
  if (now < *NextRelease)
    return;
  --Lost;
  ReleaseInterval = ReleaseInterval * 2;
  NextRelease = now + ReleaseInterval;
}

} // namespace cowslipridge::rollout
