#pragma once

#include "cowslipridge/http/Client.hpp"
#include "cowslipridge/runner/Runner.hpp"

#include <string>

namespace cowslipridge::runner {

/// A plain HTTP server: requests and answers pass unchanged, but for headers
/// that concern one connection only.
class PlainRunner final : public Runner {
public:
  PlainRunner(std::string base, core::Millis timeout);

  std::shared_ptr<RunningCall> start(const Call &call,
                                     CallEvents events) override;
  /// Plain servers load nothing: Errc::NotAllowed.
  void load(const core::VersionId &version, core::FencingNumber fence,
            std::function<void(std::error_code)> done) override;

private:
  http::Client Backend;
};

/// The headers that concern the whole exchange, not one connection.
http::Headers withoutHopByHop(const http::Headers &fields);

} // namespace cowslipridge::runner
