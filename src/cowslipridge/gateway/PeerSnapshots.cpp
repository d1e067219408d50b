#include "cowslipridge/gateway/PeerSnapshots.hpp"

#include "cowslipridge/gateway/AuxiliaryLimits.hpp"
#include "cowslipridge/http1/Fetch.hpp"

#include <utility>

namespace cowslipridge::gateway {

namespace {

constexpr const char *SnapshotPath = "/snapshot";
constexpr core::Millis FetchTimeout{1'000};
constexpr int Ok = 200;
constexpr int NotFound = 404;
constexpr int Unavailable = 503;

} // namespace

PeerSnapshots::PeerSnapshots(
    boost::asio::io_context &loop, const core::Clock &clock,
    ControlPlane &control,
    std::function<void(const http1::Endpoint &)> onAdopted)
    : Control(control), OnAdopted(std::move(onAdopted)),
      Server(loop, clock, [this](const auto &it) { onSnapshotRequest(*it); }),
      Calls(loop, clock, {}) {
  Server.setLimits(auxiliaryLimits());
}

void PeerSnapshots::listen(const http1::Endpoint &address) {
  Server.listen(address);
}

void PeerSnapshots::onSnapshotRequest(http1::Exchange &exchange) {
  http1::ResponseHead head;
  if (exchange.head().Target != SnapshotPath) {
    head.Status = NotFound;
    exchange.respond(std::move(head), {});
    return;
  }
  const auto snapshot = Control.snapshot();
  head.Status = snapshot ? Ok : Unavailable;
  exchange.respond(std::move(head), snapshot.value_or(""));
}

void PeerSnapshots::fetch(const http1::Endpoint &peer) {
  if (PendingFetch)
    return;
  http1::RequestHead head;
  head.Method = "GET";
  head.Target = SnapshotPath;
  head.Fields.add("Host", peer.address().to_string());
  http1::CallSpec spec;
  spec.Server = peer;
  spec.Bytes = http1::writeRequest(head, {});
  spec.Timeout = FetchTimeout;
  PendingFetch = http1::fetch(
      Calls, std::move(spec), [this, peer](const http1::FetchResult &result) {
        PendingFetch = nullptr;
        // After a failure, the peer's next report triggers another fetch.
        if (result.Status == Ok && Control.adopt(result.Body))
          OnAdopted(peer);
      });
}

void PeerSnapshots::stop() {
  Server.stop();
  if (const auto call = std::exchange(PendingFetch, nullptr))
    call->cancel();
}

} // namespace cowslipridge::gateway
