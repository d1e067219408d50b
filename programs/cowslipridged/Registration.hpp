#pragma once

#include "ProcessContext.hpp"

namespace cowslipridge::daemon {

/// Registers this process in the instance list and keeps its record there.
class Registration final : public kernel::Service {
public:
  explicit Registration(ProcessContext &process);

  bool start() override;
  void drain() override;
  void stop() override;

private:
  void publish();
  [[nodiscard]] backing::InstanceRecord record() const;

  ProcessContext &Process;
  std::shared_ptr<std::atomic<bool>> Stopped;
};

} // namespace cowslipridge::daemon
