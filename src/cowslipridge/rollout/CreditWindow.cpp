#include "cowslipridge/rollout/CreditWindow.hpp"

#include <algorithm>

namespace cowslipridge::rollout {

namespace {

constexpr core::Millis GradeTimeout{30'000};

} // namespace

void CreditWindow::onStart(const core::RequestId &request, core::Millis now) {
  Open.emplace(request, now);
}

void CreditWindow::onNotRun(const core::RequestId &request) {
  Open.erase(request);
}

bool CreditWindow::onGrade(const core::RequestId &request, core::Millis now) {
  if (Open.erase(request) > 0) {
    resetSilence(now);
    if (Lost > 0)
      --Lost;
    return true;
  }
  return false;
}

void CreditWindow::resetSilence(core::Millis now) {
  ReturnInterval = GradeTimeout;
  NextReturn = now + ReturnInterval;
}

void CreditWindow::advance(core::Millis now) {
  Lost += std::erase_if(
      Open, [&](const auto &x) { return now - x.second >= GradeTimeout; });
  if (Lost == 0)
    return;
  if (!NextReturn)
    resetSilence(now);
  if (now < *NextReturn)
    return;
  --Lost;
  ReturnInterval = ReturnInterval * 2;
  NextReturn = now + ReturnInterval;
}

} // namespace cowslipridge::rollout
