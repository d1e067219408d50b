#include "cowslipridge/platform/StoreClient.hpp"

#include <boost/asio/ip/address.hpp>

namespace cowslipridge::platform {

StoreClient::StoreClient(boost::asio::io_context &loop,
                         const core::Clock &clock,
                         const config::SocketAddress &address)
    : Clock(clock), Connections(loop, clock, {}),
      Address(boost::asio::ip::make_address(address.Host), address.Port),
      Host(address.Host + ":" + std::to_string(address.Port)) {}

std::shared_ptr<http1::Call> StoreClient::send(const http1::RequestHead &head,
                                               const std::string &body,
                                               core::Millis timeout,
                                               Callback callback) {
  http1::RequestHead request = head;
  request.Fields.set("Host", Host);
  http1::CallSpec spec;
  spec.Server = Address;
  spec.Bytes = http1::writeRequest(request, body);
  spec.Timeout = timeout;
  const core::Millis startedAt = Clock.monotonic();
  return http1::fetch(
      Connections, std::move(spec),
      [this, startedAt, callback = std::move(callback)](auto result) {
        StoreReply reply;
        static_cast<http1::FetchResult &>(reply) = std::move(result);
        reply.Duration = Clock.monotonic() - startedAt;
        reply.Era = parseEra(reply.Fields);
        callback(reply);
      });
}

} // namespace cowslipridge::platform
