#pragma once

#include "cowslipridge/http/Client.hpp"
#include "cowslipridge/runner/Runner.hpp"

#include <string>

namespace cowslipridge::runner {

/// A plain HTTP server. Requests and answers are passed on unchanged, except
/// for hop-by-hop headers.
class PlainRunner final : public Runner {
public:
  PlainRunner(const std::string &base, core::Millis timeout);

  std::shared_ptr<RunningCall> start(const Call &call,
                                     CallEvents events) override;
  /// Fails with Errc::NotAllowed, since plain servers have no versions to load.
  void load(const core::VersionId &version, core::FencingNumber fence,
            std::function<void(std::error_code)> done) override;

private:
  http::Client Backend;
};

/// Returns the end-to-end headers of `fields`, without the hop-by-hop ones,
/// `Host` and `Content-Length`.
http::Headers withoutHopByHop(const http::Headers &fields);

} // namespace cowslipridge::runner
