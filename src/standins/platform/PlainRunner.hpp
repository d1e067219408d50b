#pragma once

#include "standins/platform/PlatformRunner.hpp"

#include <list>

namespace cowslipridge::standins::platform {

/// A runner of a plain service: works on a request for a while and answers it
/// whole.
class PlainRunner final : public PlatformRunner {
public:
  using PlatformRunner::PlatformRunner;

  [[nodiscard]] std::size_t active() const override { return Active.size(); }

protected:
  void begin(RunnerCall call) override;
  void work(core::Millis now) override;

private:
  struct Run {
    RunnerCall Call;
    core::Millis DueAt;
  };

  void answer(const RunnerCall &call);

  std::list<Run> Active;
};

} // namespace cowslipridge::standins::platform
