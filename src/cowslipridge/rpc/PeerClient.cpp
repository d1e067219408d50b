#include "cowslipridge/rpc/PeerClient.hpp"

#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/rpc/Proof.hpp"
#include "cowslipridge/rpc/internal/Limits.hpp"
#include "cowslipridge/rpc/internal/OutgoingRun.hpp"

#include <capnp/rpc-twoparty.h>

#include <algorithm>
#include <random>

namespace cowslipridge::rpc {

using core::Errc;

namespace {

/// An established connection to the peer.
struct Link {
  explicit Link(kj::Own<kj::AsyncIoStream> stream)
      : Stream(kj::mv(stream)),
        Network(*Stream, capnp::rpc::twoparty::Side::CLIENT, readerOptions()),
        System(capnp::makeRpcClient(Network)) {}

  wire::Gate::Client gate() {
    capnp::MallocMessageBuilder message;
    auto id = message.initRoot<capnp::rpc::twoparty::VatId>();
    id.setSide(capnp::rpc::twoparty::Side::SERVER);
    return System.bootstrap(id).castAs<wire::Gate>();
  }

  kj::Own<kj::AsyncIoStream> Stream;
  capnp::TwoPartyVatNetwork Network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> System;
};

Errc toErrc(const kj::Exception &exception) {
  return exception.getType() == kj::Exception::Type::OVERLOADED
             ? Errc::DeadlineExceeded
             : Errc::RunnerUnavailable;
}

} // namespace

class PeerClient::Impl final : public std::enable_shared_from_this<Impl> {
public:
  Impl(EventLoop &loop, PeerClientSettings settings, observe::EventLog &events)
      : Loop(loop), Internals(loop.internals()), Settings(std::move(settings)),
        Events(events), Backoff(Settings.MinBackoff),
        Jitter(std::random_device()()) {}

  void connect() {
    if (Closed)
      return;
    const std::weak_ptr<Impl> weak = weak_from_this();
    auto attempt = open().then(
        [weak] {
          if (auto self = weak.lock())
            self->onConnected();
        },
        [weak](kj::Exception &&exception) {
          if (auto self = weak.lock())
            self->onLost(exception.getDescription().cStr());
        });
    Connecting = attempt.eagerlyEvaluate(nullptr);
  }

  void close() {
    Closed = true;
    Listener = nullptr;
    Peer.reset();
    Connecting = nullptr;
    Current.reset();
  }

  [[nodiscard]] bool connected() const { return Peer.has_value(); }

  template <typename Result, typename Send, typename Convert>
  void sendRequest(Send send, core::Millis timeout, Convert convert,
                   std::function<void(core::Result<Result>)> done) {
    if (!Peer) {
      done(Errc::RunnerUnavailable);
      return;
    }
    const auto wait = timeout.count() * kj::MILLISECONDS;
    auto reply = Internals.timer().timeoutAfter(wait, send(*Peer));
    Internals.detach(reply.then(
        [convert, done](auto response) { done(convert(response)); },
        [done](kj::Exception &&exception) { done(toErrc(exception)); }));
  }

  EventLoop &Loop;
  EventLoop::Impl &Internals;
  const PeerClientSettings Settings;
  std::optional<wire::Peer::Client> Peer; ///< set while connected
  std::function<void(bool)> Listener;

private:
  kj::Promise<void> open() {
    auto address = toSocketAddress(Settings.Address, Settings.Port);
    KJ_REQUIRE(address.ok(), "not an IP address");
    auto target =
        Internals.network().getSockaddr(&address->Storage, address->Size);
    auto stream = target->connect().attach(kj::mv(target));
    auto handshake = stream.then([this](kj::Own<kj::AsyncIoStream> it) {
      disableNagle(*it);
      Current = std::make_shared<Link>(kj::mv(it));
      return authenticate();
    });
    return Internals.timer().timeoutAfter(
        Settings.ConnectTimeout.count() * kj::MILLISECONDS, kj::mv(handshake));
  }

  kj::Promise<void> authenticate() {
    const std::string nonce = makeNonce();
    wire::Gate::Client gate = Current->gate();
    auto challenge = gate.challengeRequest();
    challenge.setCallerNonce(toData(nonce));
    return challenge.send().then(
        [this, gate, nonce](
            capnp::Response<wire::Gate::ChallengeResults> response) mutable {
          ProofInput input;
          input.Role = ProofRole::Callee;
          input.CallerNonce = nonce;
          input.CalleeNonce = toString(response.getCalleeNonce());
          const std::string proof = toString(response.getProof());
          if (!verifyProof(Settings.FleetKey, input, proof))
            kj::throwFatalException(
                KJ_EXCEPTION(FAILED, "peer failed to prove the fleet key"));
          input.Role = ProofRole::Caller;
          input.Instance = Settings.Self.str();
          return login(gate, input);
        });
  }

  kj::Promise<void> login(wire::Gate::Client gate, const ProofInput &input) {
    auto request = gate.loginRequest();
    request.setInstance(input.Instance);
    request.setProof(toData(makeProof(Settings.FleetKey, input)));
    return request.send().then(
        [this](capnp::Response<wire::Gate::LoginResults> response) {
          Peer = response.getPeer();
        });
  }

  void onConnected() {
    Backoff = Settings.MinBackoff;
    Events.report(observe::EventNumber::PeerConnected,
                  {{}, {}, {}, "to " + Settings.Peer.str()});
    const std::weak_ptr<Impl> weak = weak_from_this();
    const std::weak_ptr<Link> link = Current;
    Internals.detach(Current->Network.onDisconnect().then([weak, link] {
      const auto self = weak.lock();
      if (self && self->Current == link.lock())
        self->onLost("connection closed");
    }));
    notifyListener(true);
  }

  void onLost(const std::string &reason) {
    const bool wasConnected = connected();
    Peer.reset();
    if (wasConnected) {
      Events.report(observe::EventNumber::PeerLost,
                    {{}, {}, {}, Settings.Peer.str() + ": " + reason});
    }
    // onLost() may run in a callback of the link, which must not destroy
    // itself: the link is destroyed by a later task.
    Loop.post([link = std::move(Current)]() mutable { link.reset(); });
    Current.reset();
    retryLater();
    if (wasConnected)
      notifyListener(false);
  }

  void retryLater() {
    std::uniform_real_distribution<double> spread(0.5, 1.0);
    const auto wait = static_cast<double>(Backoff.count()) * spread(Jitter);
    Backoff = std::min(Backoff * 2, Settings.MaxBackoff);
    Loop.postAfter(core::Millis(static_cast<std::int64_t>(wait)),
                   [weak = weak_from_this()] {
                     if (auto self = weak.lock())
                       self->connect();
                   });
  }

  void notifyListener(bool isConnected) {
    if (Listener)
      Listener(isConnected);
  }

  observe::EventLog &Events;
  core::Millis Backoff;
  std::minstd_rand Jitter;
  bool Closed = false;
  std::shared_ptr<Link> Current;
  kj::Promise<void> Connecting = nullptr;
};

PeerClient::PeerClient(EventLoop &loop, PeerClientSettings settings,
                       observe::EventLog &events)
    : Internals(std::make_shared<Impl>(loop, std::move(settings), events)) {
  Internals->connect();
}

// The posted task keeps the connection alive until callbacks that may be
// running on it have returned.
PeerClient::~PeerClient() {
  Internals->Loop.post([impl = Internals] { impl->close(); });
}

bool PeerClient::connected() const { return Internals->connected(); }

void PeerClient::onChange(std::function<void(bool)> listener) {
  Internals->Listener = std::move(listener);
}

std::shared_ptr<RemoteCall> PeerClient::run(const RunRequest &request,
                                            AnswerEvents events) {
  auto run = std::make_shared<OutgoingRun>(std::move(events));
  if (!connected()) {
    run->fail(Errc::RunnerUnavailable, core::Outcome::NotRun,
              "no connection to " + Internals->Settings.Peer.str());
    return run;
  }
  run->send(Internals->Internals, *Internals->Peer, request,
            request.Remaining + Internals->Settings.AnswerGrace);
  return run;
}

void PeerClient::exchange(const PeerStatus &status, core::Millis timeout,
                          std::function<void(core::Result<PeerStatus>)> done) {
  Internals->sendRequest<PeerStatus>(
      [&](wire::Peer::Client &peer) {
        auto request = peer.exchangeRequest();
        encode(status, request.initStatus());
        return request.send();
      },
      timeout, [](auto &response) { return decode(response.getStatus()); },
      std::move(done));
}

void PeerClient::fetchBundle(
    core::Millis timeout,
    std::function<void(core::Result<BundleContent>)> done) {
  Internals->sendRequest<BundleContent>(
      [](wire::Peer::Client &peer) { return peer.bundleRequest().send(); },
      timeout,
      [](auto &response) {
        return core::Result<BundleContent>(
            BundleContent{core::Generation(response.getGeneration()),
                          toString(response.getContent())});
      },
      std::move(done));
}

void PeerClient::offerBundle(
    const BundleContent &content, core::Millis timeout,
    std::function<void(core::Result<core::Generation>)> done) {
  Internals->sendRequest<core::Generation>(
      [&](wire::Peer::Client &peer) {
        auto request = peer.offerBundleRequest();
        request.setSender(Internals->Settings.Self.str());
        request.setGeneration(content.Number.value());
        request.setContent(toData(content.Content));
        return request.send();
      },
      timeout,
      [](auto &response) {
        return core::Result<core::Generation>(
            core::Generation(response.getGeneration()));
      },
      std::move(done));
}

void PeerClient::deliverBills(
    const core::InstanceId &self, const std::vector<std::string> &lines,
    core::Millis timeout, std::function<void(core::Result<unsigned>)> done) {
  Internals->sendRequest<unsigned>(
      [&](wire::Peer::Client &peer) {
        auto request = peer.deliverBillsRequest();
        auto out = request.initLines(lines.size());
        for (unsigned n = 0; n < out.size(); ++n)
          out.set(n, toData(lines[n]));
        request.setSender(self.str());
        return request.send();
      },
      timeout,
      [](auto &response) {
        return core::Result<unsigned>(response.getAccepted());
      },
      std::move(done));
}

} // namespace cowslipridge::rpc
