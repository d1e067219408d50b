#include "cowslipridge/rpc/Server.hpp"

#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/rpc/Codec.hpp"
#include "cowslipridge/rpc/Proof.hpp"
#include "cowslipridge/rpc/internal/EventLoopImpl.hpp"
#include "cowslipridge/rpc/internal/IncomingRun.hpp"
#include "cowslipridge/rpc/internal/Limits.hpp"

#include <capnp/rpc-twoparty.h>

#include <list>

namespace cowslipridge::rpc {

namespace {

/// Serves the Peer interface to one authenticated peer.
class PeerServer final : public wire::Peer::Server {
public:
  PeerServer(EventLoop::Impl &loop, std::shared_ptr<PeerHandler> handler)
      : Loop(loop), Handler(std::move(handler)) {}

  kj::Promise<void> run(RunContext context) override {
    auto params = context.getParams();
    auto sink = std::make_shared<RemoteSink>(Loop, params.getSink());
    core::Result<RunRequest> request = decode(params.getRequest());
    std::shared_ptr<IncomingCall> call;
    if (request.ok())
      call = Handler->run(std::move(request).value(), sink);
    else
      sink->end(refuse(request.error()));
    context.getResults().setHandle(
        kj::heap<RunHandleServer>(std::move(sink), std::move(call)));
    return kj::READY_NOW;
  }

  kj::Promise<void> exchange(ExchangeContext context) override {
    const core::Result<PeerStatus> status =
        decode(context.getParams().getStatus());
    KJ_REQUIRE(status.ok(), "malformed status");
    encode(Handler->exchange(*status), context.getResults().initStatus());
    return kj::READY_NOW;
  }

  kj::Promise<void> bundle(BundleContext context) override {
    const BundleContent content = Handler->bundle();
    auto results = context.getResults();
    results.setGeneration(content.Number.value());
    results.setContent(toData(content.Content));
    return kj::READY_NOW;
  }

  kj::Promise<void> deliverBills(DeliverBillsContext context) override {
    std::vector<std::string> lines;
    for (const auto it : context.getParams().getLines())
      lines.push_back(toString(it));
    const core::InstanceId sender(context.getParams().getSender().cStr());
    context.getResults().setAccepted(Handler->deliverBills(sender, lines));
    return kj::READY_NOW;
  }

  kj::Promise<void> offerBundle(OfferBundleContext context) override {
    auto params = context.getParams();
    const core::InstanceId sender(params.getSender().cStr());
    const core::Generation inForce =
        Handler->offerBundle(sender, {core::Generation(params.getGeneration()),
                                      toString(params.getContent())});
    context.getResults().setGeneration(inForce.value());
    return kj::READY_NOW;
  }

private:
  static RunResult refuse(std::error_code ec) {
    RunResult result;
    result.Result = core::Outcome::NotRun;
    result.Error = ec;
    result.Detail = "request message cannot be decoded";
    return result;
  }

  EventLoop::Impl &Loop;
  std::shared_ptr<PeerHandler> Handler;
};

/// References from a GateServer to the server that it belongs to.
struct GateContext {
  EventLoop::Impl &Loop;
  const ServerSettings &Settings;
  std::shared_ptr<PeerHandler> Handler;
  observe::EventLog &Events;
  std::string Remote;
};

/// Performs mutual challenge-response authentication on one connection, with
/// the fleet key as the shared secret.
class GateServer final : public wire::Gate::Server {
public:
  GateServer(GateContext context, bool &authenticated)
      : Context(std::move(context)), Authenticated(authenticated) {}

  kj::Promise<void> challenge(ChallengeContext context) override {
    ProofInput input;
    input.Role = ProofRole::Callee;
    input.CallerNonce = toString(context.getParams().getCallerNonce());
    if (input.CallerNonce.size() != NonceBytes || !CalleeNonce.empty())
      return refuse("challenge out of order");
    CallerNonce = input.CallerNonce;
    CalleeNonce = makeNonce();
    input.CalleeNonce = CalleeNonce;
    auto results = context.getResults();
    results.setCalleeNonce(toData(CalleeNonce));
    results.setProof(toData(makeProof(Context.Settings.FleetKey, input)));
    return kj::READY_NOW;
  }

  kj::Promise<void> login(LoginContext context) override {
    ProofInput input;
    input.Role = ProofRole::Caller;
    input.CallerNonce = CallerNonce;
    input.CalleeNonce = CalleeNonce;
    input.Instance = context.getParams().getInstance();
    const std::string proof = toString(context.getParams().getProof());
    if (Authenticated || !verifyProof(Context.Settings.FleetKey, input, proof))
      return refuse("login without a valid proof");
    Authenticated = true;
    Context.Events.report(observe::EventNumber::PeerConnected,
                          {{}, {}, {}, "from " + input.Instance});
    context.getResults().setPeer(
        kj::heap<PeerServer>(Context.Loop, Context.Handler));
    return kj::READY_NOW;
  }

private:
  kj::Promise<void> refuse(const std::string &reason) {
    Context.Events.report(
        observe::EventNumber::PeerRefused,
        {{}, {}, {}, "from " + Context.Remote + ": " + reason});
    return KJ_EXCEPTION(FAILED, "refused");
  }

  GateContext Context;
  bool &Authenticated;
  std::string CallerNonce;
  std::string CalleeNonce;
};

struct Connection {
  Connection(kj::Own<kj::AsyncIoStream> stream, GateContext context)
      : Remote(context.Remote), Stream(kj::mv(stream)),
        Network(*Stream, capnp::rpc::twoparty::Side::SERVER, readerOptions()),
        System(capnp::makeRpcServer(
            Network, kj::heap<GateServer>(std::move(context), Authenticated))) {
    System.setFlowLimit(MaxCallWordsInFlight);
  }

  const std::string Remote;
  bool Authenticated = false;
  kj::Own<kj::AsyncIoStream> Stream;
  capnp::TwoPartyVatNetwork Network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> System;
};

std::string remoteName(kj::AsyncIoStream &stream) {
  sockaddr_storage address{};
  kj::uint size = sizeof(address);
  stream.getpeername(reinterpret_cast<sockaddr *>(&address), &size);
  return toText(address);
}

} // namespace

class Server::Impl final : public std::enable_shared_from_this<Impl> {
public:
  Impl(EventLoop::Impl &loop, ServerSettings settings,
       std::shared_ptr<PeerHandler> handler, observe::EventLog &events)
      : Loop(loop), Settings(std::move(settings)), Handler(std::move(handler)),
        Events(events) {}

  std::error_code open() {
    auto address = toSocketAddress(Settings.Address, Settings.Port);
    if (!address)
      return address.error();
    try {
      Listener = Loop.network()
                     .getSockaddr(&address->Storage, address->Size)
                     ->listen();
    } catch (const kj::Exception &ex) {
      return std::make_error_code(std::errc::address_in_use);
    }
    Accepting = accept().eagerlyEvaluate(nullptr);
    return {};
  }

  void close() {
    Accepting = nullptr;
    Listener = nullptr;
    Connections.clear();
  }

private:
  kj::Promise<void> accept() {
    return Listener->accept().then([this](kj::Own<kj::AsyncIoStream> stream) {
      admit(kj::mv(stream));
      return accept();
    });
  }

  void admit(kj::Own<kj::AsyncIoStream> stream) {
    disableNagle(*stream);
    if (unauthenticated() >= Settings.MaxUnauthenticatedConnections) {
      Events.report(observe::EventNumber::PeerRefused,
                    {{}, {}, {}, "too many unauthenticated connections"});
      return;
    }
    GateContext context{Loop, Settings, Handler, Events, remoteName(*stream)};
    auto it = Connections.insert(
        Connections.end(),
        std::make_shared<Connection>(kj::mv(stream), std::move(context)));
    watch(*it);
  }

  [[nodiscard]] std::size_t unauthenticated() const {
    std::size_t n = 0;
    for (const auto &it : Connections)
      n += it->Authenticated ? 0 : 1;
    return n;
  }

  void watch(const std::shared_ptr<Connection> &connection) {
    const std::weak_ptr<Impl> self = weak_from_this();
    const std::weak_ptr<Connection> weak = connection;
    Loop.detach(connection->Network.onDisconnect().then([self, weak] {
      if (auto impl = self.lock())
        impl->remove(weak, "disconnected before authentication");
    }));
    const auto wait = Settings.LoginTimeout.count() * kj::MILLISECONDS;
    Loop.detach(Loop.timer().afterDelay(wait).then([self, weak] {
      const auto impl = self.lock();
      const auto unknown = weak.lock();
      if (impl && unknown && !unknown->Authenticated)
        impl->remove(weak, "authentication timed out");
    }));
  }

  void remove(const std::weak_ptr<Connection> &weak, const std::string &why) {
    const auto connection = weak.lock();
    if (connection && !connection->Authenticated) {
      Events.report(observe::EventNumber::PeerRefused,
                    {{}, {}, {}, "from " + connection->Remote + ": " + why});
    }
    removeLater(weak);
  }

  // A connection must not be destroyed from within its own callback.
  void removeLater(const std::weak_ptr<Connection> &weak) {
    Loop.post([self = weak_from_this(), weak] {
      const auto impl = self.lock();
      const auto connection = weak.lock();
      if (impl && connection)
        impl->Connections.remove(connection);
    });
  }

  EventLoop::Impl &Loop;
  const ServerSettings Settings;
  std::shared_ptr<PeerHandler> Handler;
  observe::EventLog &Events;
  kj::Own<kj::ConnectionReceiver> Listener;
  kj::Promise<void> Accepting = nullptr;
  std::list<std::shared_ptr<Connection>> Connections;
};

Server::Server(EventLoop &loop, ServerSettings settings,
               std::shared_ptr<PeerHandler> handler, observe::EventLog &events)
    : Loop(loop),
      Internals(std::make_shared<Impl>(loop.internals(), std::move(settings),
                                       std::move(handler), events)) {}

Server::~Server() { close(); }

std::error_code Server::open() {
  std::error_code ec;
  Loop.call([&] { ec = Internals->open(); });
  return ec;
}

void Server::close() {
  Loop.call([&] { Internals->close(); });
}

} // namespace cowslipridge::rpc
