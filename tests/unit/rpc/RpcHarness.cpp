#include "unit/rpc/RpcHarness.hpp"

#include "support/Loopback.hpp"

namespace cowslipridge::rpc {

namespace {

class CountingCall final : public IncomingCall {
public:
  explicit CountingCall(ScriptedHandler &handler) : Handler(handler) {}
  void abandon() override { Handler.countAbandoned(); }

private:
  ScriptedHandler &Handler;
};

} // namespace

std::shared_ptr<IncomingCall>
ScriptedHandler::run(RunRequest request, std::shared_ptr<AnswerSink> sink) {
  Behaviour(request, sink);
  return std::make_shared<CountingCall>(*this);
}

PeerStatus ScriptedHandler::exchange(const PeerStatus &status) {
  PeerStatus reply = status;
  reply.Instance = core::InstanceId("callee");
  return reply;
}

BundleContent ScriptedHandler::bundle() { return {core::Generation(7), "{}"}; }

core::Generation
ScriptedHandler::offerBundle(const core::InstanceId & /*sender*/,
                             BundleContent content) {
  return content.Number;
}

unsigned ScriptedHandler::deliverBills(const core::InstanceId & /*sender*/,
                                       const std::vector<std::string> &lines) {
  return static_cast<unsigned>(lines.size());
}

unsigned ScriptedHandler::abandoned() const {
  const std::lock_guard lock(Guard);
  return Abandoned;
}

void ScriptedHandler::countAbandoned() {
  const std::lock_guard lock(Guard);
  ++Abandoned;
}

RpcPair::RpcPair(ScriptedHandler::Script script, std::string clientKey)
    : ServerEvents(Time, core::InstanceId("callee"), core::Incarnation(1), 64),
      ClientEvents(Time, core::InstanceId("caller"), core::Incarnation(1), 64),
      Handler(std::make_shared<ScriptedHandler>(std::move(script))) {
  ServerSettings settings;
  settings.Address = support::loopbackAddress();
  settings.Port = support::nextPort();
  settings.FleetKey = std::string(32, 'k');
  Listening =
      std::make_unique<Server>(ServerLoop, settings, Handler, ServerEvents);
  const std::error_code ec = Listening->open();
  if (ec)
    throw std::system_error(ec);
  PeerClientSettings peer;
  peer.Self = core::InstanceId("caller");
  peer.Peer = core::InstanceId("callee");
  peer.Address = settings.Address;
  peer.Port = settings.Port;
  peer.FleetKey = std::move(clientKey);
  ClientLoop.call([&] {
    Client = std::make_unique<PeerClient>(ClientLoop, peer, ClientEvents);
  });
}

RpcPair::~RpcPair() {
  ClientLoop.call([&] { Client.reset(); });
}

bool RpcPair::waitConnected() {
  return support::eventually([&] {
    bool connected = false;
    ClientLoop.call([&] { connected = Client->connected(); });
    return connected;
  });
}

std::shared_ptr<RemoteCall> RpcPair::start(const RunRequest &request) {
  AnswerEvents events;
  events.OnHead = [this](int status, const http::Headers &) {
    const std::lock_guard lock(Guard);
    Received.Status = status;
  };
  events.OnFrame = [this](const std::string &data) {
    const std::lock_guard lock(Guard);
    Received.Body += data;
  };
  events.OnEnd = [this](RunResult result) {
    const std::lock_guard lock(Guard);
    Received.Result = std::move(result);
  };
  std::shared_ptr<RemoteCall> call;
  ClientLoop.call([&] { call = Client->run(request, events); });
  return call;
}

ReceivedAnswer RpcPair::received() {
  const std::lock_guard lock(Guard);
  return Received;
}

bool RpcPair::waitEnd() {
  return support::eventually([&] { return received().Result.has_value(); });
}

ReceivedAnswer RpcPair::run(const RunRequest &request) {
  const auto call = start(request);
  waitEnd();
  return received();
}

void RpcPair::closeServer() { Listening->close(); }

RunRequest makeRequest() {
  RunRequest request;
  request.Request = core::RequestId("r1");
  request.Organisation = core::OrganisationId("kochi-bowls");
  request.Service = core::ServiceId("drafting");
  request.Version = core::VersionId("small@3");
  request.Remaining = core::Millis(3'000);
  return request;
}

} // namespace cowslipridge::rpc
