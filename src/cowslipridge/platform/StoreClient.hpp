#pragma once

#include "cowslipridge/config/GatewaySettings.hpp"
#include "cowslipridge/http1/Fetch.hpp"
#include "cowslipridge/platform/StoreProtocol.hpp"

#include <functional>
#include <memory>
#include <string>

namespace cowslipridge::platform {

/// A complete response of the store, or the reason why there is none.
struct StoreReply : http1::FetchResult {
  core::Millis Duration; ///< from sending the call to its response or failure
  StoreEra Era = 0;      ///< that the response belongs to
};

/// Sends calls to the platform's metadata store.
class StoreClient {
public:
  using Callback = std::function<void(const StoreReply &)>;

  StoreClient(boost::asio::io_context &loop, const core::Clock &clock,
              const config::SocketAddress &address);

  std::shared_ptr<http1::Call> send(const http1::RequestHead &head,
                                    const std::string &body,
                                    core::Millis timeout, Callback callback);
  std::shared_ptr<http1::Call> send(const StoreCall &call, core::Millis timeout,
                                    Callback callback) {
    return send(call.Head, call.Body, timeout, std::move(callback));
  }

private:
  const core::Clock &Clock;
  http1::Client Connections;
  http1::Endpoint Address;
  std::string Host;
};

} // namespace cowslipridge::platform
