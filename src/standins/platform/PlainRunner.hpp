#pragma once

#include "standins/platform/PlatformRunner.hpp"

#include <list>

namespace cowslipridge::standins::platform {

/// A runner of a plain service: sends one complete response after a configured
/// service time.
class PlainRunner final : public PlatformRunner {
public:
  using PlatformRunner::PlatformRunner;

  [[nodiscard]] std::size_t active() const override { return Active.size(); }

protected:
  void startRequest(RunnerCall call) override;
  void process(core::Millis now) override;
  void crash() override;

private:
  struct ActiveRequest {
    RunnerCall Call;
    core::Millis DueAt;
  };

  void respond(const RunnerCall &call);
  [[nodiscard]] bool isCrashing(const RunnerCall &call) const;

  std::list<ActiveRequest> Active;
};

} // namespace cowslipridge::standins::platform
