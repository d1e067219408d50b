#pragma once

#include "cowslipridge/config/GatewaySettings.hpp"
#include "cowslipridge/http1/Fetch.hpp"
#include "cowslipridge/platform/StoreProtocol.hpp"

#include <functional>
#include <memory>
#include <string>

namespace cowslipridge::platform {

/// A whole answer of the store, or none.
struct StoreReply : http1::FetchResult {
  core::Millis Took; ///< from the call to its answer or its failure
};

/// Sends calls to the platform's metadata store.
class StoreClient {
public:
  using Done = std::function<void(const StoreReply &)>;

  StoreClient(boost::asio::io_context &loop, const core::Clock &clock,
              const config::SocketAddress &address);

  std::shared_ptr<http1::Call> send(const http1::RequestHead &head,
                                    const std::string &body,
                                    core::Millis timeout, Done done);
  std::shared_ptr<http1::Call> send(const StoreCall &call, core::Millis timeout,
                                    Done done) {
    return send(call.Head, call.Body, timeout, std::move(done));
  }

private:
  const core::Clock &Clock;
  http1::Client Connections;
  http1::Endpoint Address;
  std::string Host;
};

} // namespace cowslipridge::platform
