#include "ListPoller.hpp"

namespace cowslipridge::daemon {

namespace {

constexpr core::Millis PollInterval{1'000};

} // namespace

ListPoller::ListPoller(ProcessContext &process,
                       std::shared_ptr<RoleService> role,
                       std::shared_ptr<ConfigurationService> configuration)
    : Process(process), Role(std::move(role)),
      Configuration(std::move(configuration)),
      Stopped(std::make_shared<std::atomic<bool>>(false)) {}

bool ListPoller::start() {
  poll();
  return true;
}

void ListPoller::stop() { *Stopped = true; }

void ListPoller::poll() {
  Process.Instances->fetch(
      [this, stopped = Stopped](
          core::Result<std::vector<backing::InstanceRecord>> records) {
        if (*stopped)
          return;
        if (records.ok()) {
          Configuration->setFleetSize(records->size());
          Role->applyInstanceList(std::move(records).value());
        }
        Process.Loop.postAfter(PollInterval, [this, stopped] {
          if (!*stopped)
            poll();
        });
      });
}

} // namespace cowslipridge::daemon
