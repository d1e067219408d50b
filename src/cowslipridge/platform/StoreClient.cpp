#include "cowslipridge/platform/StoreClient.hpp"

#include <boost/asio/ip/address.hpp>

namespace cowslipridge::platform {

namespace {

/// Gathers one answer.
class ReplyCollector final : public http1::CallEvents {
public:
  ReplyCollector(const core::Clock &clock, StoreClient::Done done)
      : Clock(clock), BegunAt(clock.monotonic()), Done(std::move(done)) {}

  void onHead(const http1::ResponseHead &head) override {
    Reply.Status = head.Status;
  }
  void onData(std::string_view data) override { Reply.Body += data; }
  void onEnd() override { finish(); }
  void onFailure(http1::CallFailure failure) override {
    Reply = {0, {}, failure, {}};
    finish();
  }

private:
  void finish() {
    Reply.Took = Clock.monotonic() - BegunAt;
    Done(Reply);
  }

  const core::Clock &Clock;
  const core::Millis BegunAt;
  StoreClient::Done Done;
  StoreReply Reply;
};

} // namespace

StoreClient::StoreClient(boost::asio::io_context &loop,
                         const core::Clock &clock,
                         const config::SocketAddress &address)
    : Clock(clock), Connections(loop, clock, {}),
      Address(boost::asio::ip::make_address(address.Host), address.Port),
      Host(address.Host + ":" + std::to_string(address.Port)) {}

std::shared_ptr<http1::Call> StoreClient::send(const http1::RequestHead &head,
                                               const std::string &body,
                                               core::Millis timeout,
                                               Done done) {
  http1::RequestHead request = head;
  request.Fields.set("Host", Host);
  http1::CallSpec spec;
  spec.Server = Address;
  spec.Bytes = http1::writeRequest(request, body);
  spec.Timeout = timeout;
  return Connections.call(std::move(spec), std::make_shared<ReplyCollector>(
                                               Clock, std::move(done)));
}

} // namespace cowslipridge::platform
