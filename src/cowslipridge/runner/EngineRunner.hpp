#pragma once

#include "cowslipridge/http/Client.hpp"
#include "cowslipridge/runner/Runner.hpp"

#include <string>

namespace cowslipridge::runner {

/// A model engine with a chat-completions API.
class EngineRunner final : public Runner {
public:
  /// `base` is a URL such as `http://127.0.0.1:7000`. `timeout` is the idle
  /// timeout, the longest wait for the next bytes.
  EngineRunner(const std::string &base, core::Millis timeout);

  std::shared_ptr<RunningCall> start(const Call &call,
                                     CallEvents events) override;
  void load(const core::VersionId &version, core::FencingNumber fence,
            std::function<void(std::error_code)> done) override;

private:
  http::Client Engine;
};

} // namespace cowslipridge::runner
