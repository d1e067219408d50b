#include "RolloutService.hpp"

#include "cowslipridge/backing/CloudEventsRatings.hpp"

#include <algorithm>

namespace cowslipridge::daemon {

namespace {

constexpr core::Millis GradePollInterval{500};
constexpr core::Millis RecordReadInterval{2'000};
constexpr core::Millis RatingsTimeout{3'000};

} // namespace

RolloutService::RolloutService(ProcessContext &process,
                               std::shared_ptr<sidecar::Sidecar> sidecar)
    : Process(process), Sidecar(std::move(sidecar)),
      Stopped(std::make_shared<std::atomic<bool>>(false)) {
  if (!Process.Settings.RatingsAddress.empty())
    Grades = backing::makeCloudEventsRatings(Process.Settings.RatingsAddress,
                                             RatingsTimeout);
  Stepper = std::make_shared<rollout::RolloutStepper>(
      Process.Store, [&loop = Process.Loop, it = Sidecar,
                      stopped = Stopped](const rollout::RolloutRecord &record) {
        if (!*stopped)
          loop.post([it, record] { it->applyRolloutRecord(record); });
      });
}

void RolloutService::start() {
  Process.Loop.call([this] {
    Sidecar->setRolloutListener(
        [record = Stepper](const rollout::RolloutActions &actions) {
          for (const rollout::RolloutAction &action : actions)
            record->perform(action);
        });
  });
  if (Grades)
    pollGrades();
  refreshRecord();
}

void RolloutService::stop() {
  *Stopped = true;
  Process.Loop.call([this] { Sidecar->setRolloutListener(nullptr); });
}

void RolloutService::configure(const config::Bundle &bundle) {
  const auto *service = bundle.findService(Process.Settings.Runner->Service);
  if (service != nullptr)
    Stepper->configure(*service, bundle.Number);
}

// The rating service knows the runner by the name of its sidecar.
void RolloutService::pollGrades() {
  const core::RunnerId runner(Process.Settings.Instance.str());
  Grades->fetch(
      runner, Cursor,
      [this, stopped = Stopped](const core::Result<backing::GradePage> &page) {
        if (*stopped)
          return;
        Process.Loop.post([this, stopped, page] {
          if (*stopped)
            return;
          if (page.ok()) {
            Cursor = page->Cursor;
            Sidecar->applyGrades(page->Grades);
          }
          Process.Loop.postAfter(GradePollInterval, [this, stopped] {
            if (!*stopped)
              pollGrades();
          });
        });
      });
}

void RolloutService::refreshRecord() {
  Stepper->refresh();
  Process.Loop.postAfter(RecordReadInterval, [this, stopped = Stopped] {
    if (!*stopped)
      refreshRecord();
  });
}

// Sidecars that serve the trial version share its exposure credits. Each
// derives its share from its rank in the list of their names, sorted alike
// everywhere.
void RolloutService::applyInstanceList(
    const std::vector<backing::InstanceRecord> &records) {
  const config::ServiceDeclaration *service = Sidecar->context().service();
  if (service == nullptr || !service->Rollout)
    return;
  const core::VersionId &trial = service->Rollout->Trial;
  std::vector<core::InstanceId> names = {Process.Settings.Instance};
  for (const backing::InstanceRecord &it : records) {
    const bool serves = std::find(it.Versions.begin(), it.Versions.end(),
                                  trial) != it.Versions.end();
    if (serves && it.Service == service->Name && it.Name != names.front() &&
        !it.Leaving)
      names.push_back(it.Name);
  }
  const core::InstanceId self = names.front();
  std::sort(names.begin(), names.end());
  const auto rank = std::find(names.begin(), names.end(), self);
  Sidecar->setTrialPeers(static_cast<unsigned>(rank - names.begin()),
                         static_cast<unsigned>(names.size()));
}

} // namespace cowslipridge::daemon
