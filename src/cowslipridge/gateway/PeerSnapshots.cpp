#include "cowslipridge/gateway/PeerSnapshots.hpp"

#include "cowslipridge/http1/Fetch.hpp"

#include <utility>

namespace cowslipridge::gateway {

namespace {

constexpr const char *Path = "/snapshot";
constexpr core::Millis AskTimeout{1'000};
constexpr int Ok = 200;
constexpr int NotFound = 404;
constexpr int Unavailable = 503;

} // namespace

PeerSnapshots::PeerSnapshots(
    boost::asio::io_context &loop, const core::Clock &clock,
    ControlPlane &control, std::function<void(const http1::Endpoint &)> adopted)
    : Control(control), Adopted(std::move(adopted)),
      Server(loop, clock, [this](const auto &it) { onCall(*it); }),
      Calls(loop, clock, {}) {}

void PeerSnapshots::listen(const http1::Endpoint &address) {
  Server.listen(address);
}

void PeerSnapshots::onCall(http1::Exchange &exchange) {
  http1::ResponseHead head;
  if (exchange.head().Target != Path) {
    head.Status = NotFound;
    exchange.respond(std::move(head), {});
    return;
  }
  const auto snapshot = Control.snapshot();
  head.Status = snapshot ? Ok : Unavailable;
  exchange.respond(std::move(head), snapshot.value_or(""));
}

void PeerSnapshots::ask(const http1::Endpoint &peer) {
  if (Asking)
    return;
  http1::RequestHead head;
  head.Method = "GET";
  head.Target = Path;
  head.Fields.add("Host", peer.address().to_string());
  http1::CallSpec spec;
  spec.Server = peer;
  spec.Bytes = http1::writeRequest(head, {});
  spec.Timeout = AskTimeout;
  Asking = http1::fetch(Calls, std::move(spec),
                        [this, peer](const http1::FetchResult &result) {
                          Asking = nullptr;
                          // The next report is reason to ask again.
                          if (result.Status == Ok && Control.adopt(result.Body))
                            Adopted(peer);
                        });
}

void PeerSnapshots::stop() {
  Server.stop();
  if (const auto call = std::exchange(Asking, nullptr))
    call->cancel();
}

} // namespace cowslipridge::gateway
