#include "cowslipridge/http1/Client.hpp"

#include "cowslipridge/http1/internal/ClientConnection.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <iterator>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cowslipridge::http1 {

std::string_view toString(CallFailure failure) {
  switch (failure) {
  case CallFailure::NotConnected:
    return "not-connected";
  case CallFailure::ConnectionLimitReached:
    return "no-room";
  case CallFailure::TooLateToSend:
    return "too-late-to-send";
  case CallFailure::BrokenBeforeResponse:
    return "broken-early";
  case CallFailure::Broken:
    return "broken";
  case CallFailure::Malformed:
    return "malformed";
  case CallFailure::TimedOut:
    break;
  }
  return "timed-out";
}

bool isUnsent(CallFailure failure) {
  return failure == CallFailure::NotConnected ||
         failure == CallFailure::ConnectionLimitReached ||
         failure == CallFailure::TooLateToSend;
}

namespace {

/// A call that was rejected because the connection limit was reached.
class RejectedCall final : public Call {
public:
  explicit RejectedCall(std::shared_ptr<CallEvents> events)
      : Events(std::move(events)) {}
  void deliver() {
    if (const auto events = std::exchange(Events, nullptr))
      events->onFailure(CallFailure::ConnectionLimitReached);
  }
  void cancel() override { Events = nullptr; }
  void pause() override {}
  void resume() override {}
  [[nodiscard]] CallProgress progress() const override { return {}; }

private:
  std::shared_ptr<CallEvents> Events;
};

} // namespace

class Client::Impl : public std::enable_shared_from_this<Impl> {
  using Connection = std::shared_ptr<internal::ClientConnection>;

public:
  Impl(boost::asio::io_context &loop, const core::Clock &clock,
       ClientLimits limits)
      : Loop(loop), Clock(clock), Limits(limits) {}

  std::shared_ptr<Call> call(CallSpec spec,
                             std::shared_ptr<CallEvents> events) {
    Connection connection = acquireIdle(spec);
    if (!connection && !makeRoom(spec))
      return reject(std::move(events));
    if (!connection)
      connection = open(spec.Server);
    return connection->start(std::move(spec), std::move(events));
  }

  void closeAll() {
    auto all = std::exchange(Open, {});
    for (const auto &[key, it] : all)
      it.second->shutDown();
  }

  std::size_t ConnectionsOpened = 0;

private:
  std::shared_ptr<Call> reject(std::shared_ptr<CallEvents> events) {
    const auto rejected = std::make_shared<RejectedCall>(std::move(events));
    boost::asio::post(Loop, [rejected] { rejected->deliver(); });
    return rejected;
  }

  [[nodiscard]] std::size_t connectionCount(const Endpoint &server) const {
    const auto it = ConnectionCounts.find(server);
    return it == ConnectionCounts.end() ? 0 : it->second;
  }

  Connection acquireIdle(const CallSpec &spec) {
    const core::Millis now = Clock.monotonic();
    for (Connection it = takeIdle(spec); it; it = takeIdle(spec)) {
      if (it->isUsable(now))
        return it;
      it->shutDown();
    }
    return nullptr;
  }

  // Removes an idle connection that may carry the call from the pool. The most
  // recently used one is the least likely to have been closed by the server.
  Connection takeIdle(const CallSpec &spec) {
    const auto idle = Idle.find(spec.Server);
    if (idle == Idle.end())
      return nullptr;
    std::vector<Connection> &all = idle->second;
    const auto request = internal::CarriedRequest::of(spec);
    const auto chosen =
        std::find_if(all.rbegin(), all.rend(), [&](const Connection &it) {
          return !request || it->mayCarry(*request);
        });
    if (chosen == all.rend())
      return nullptr;
    Connection taken = *chosen;
    all.erase(std::next(chosen).base());
    if (all.empty())
      Idle.erase(idle);
    return taken;
  }

  // Closes idle connections that the call can't use, as far as the limits
  // require it. Returns false if they leave no place for a new one.
  bool makeRoom(const CallSpec &spec) {
    if (connectionCount(spec.Server) >= spec.MaxConnections)
      closeOldest(Idle.find(spec.Server));
    if (Open.size() >= Limits.MaxConnections)
      closeOldest(std::ranges::max_element(
          Idle, {}, [](const auto &it) { return it.second.size(); }));
    return connectionCount(spec.Server) < spec.MaxConnections &&
           Open.size() < Limits.MaxConnections;
  }

  // Closes the idle connection of a server that was used least recently.
  void closeOldest(std::map<Endpoint, std::vector<Connection>>::iterator idle) {
    if (idle == Idle.end())
      return;
    const Connection oldest = idle->second.front();
    oldest->shutDown();
  }

  Connection open(const Endpoint &server) {
    const std::weak_ptr<Impl> weak = weak_from_this();
    internal::ClientConnection::PoolCallbacks callbacks{
        [weak, server](const Connection &it) {
          if (const auto self = weak.lock())
            self->Idle[server].push_back(it);
        },
        [weak, server](internal::ClientConnection *it) {
          if (const auto self = weak.lock())
            self->remove(server, it);
        }};
    auto connection = std::make_shared<internal::ClientConnection>(
        Loop, Clock, Limits, ++ConnectionsOpened, std::move(callbacks));
    Open.emplace(connection.get(), std::pair(server, connection));
    ++ConnectionCounts[server];
    return connection;
  }

  void remove(const Endpoint &server, internal::ClientConnection *connection) {
    const auto idle = Idle.find(server);
    if (idle != Idle.end()) {
      std::erase_if(idle->second, [&](const Connection &it) {
        return it.get() == connection;
      });
      if (idle->second.empty())
        Idle.erase(idle);
    }
    const auto count = ConnectionCounts.find(server);
    if (Open.erase(connection) != 0 && --count->second == 0)
      ConnectionCounts.erase(count);
  }

  boost::asio::io_context &Loop;
  const core::Clock &Clock;
  const ClientLimits Limits;
  // Neither map keeps an entry without a connection, so that they do not grow
  // as servers are added and removed.
  std::map<Endpoint, std::vector<Connection>> Idle; ///< no list is empty
  std::map<Endpoint, std::size_t> ConnectionCounts; ///< open connections
  std::unordered_map<internal::ClientConnection *,
                     std::pair<Endpoint, Connection>>
      Open;
};

Client::Client(boost::asio::io_context &loop, const core::Clock &clock,
               ClientLimits limits)
    : Internals(std::make_shared<Impl>(loop, clock, limits)) {}
Client::~Client() { Internals->closeAll(); }

std::shared_ptr<Call> Client::call(CallSpec spec,
                                   std::shared_ptr<CallEvents> events) {
  return Internals->call(std::move(spec), std::move(events));
}
std::size_t Client::connectionsOpened() const {
  return Internals->ConnectionsOpened;
}

} // namespace cowslipridge::http1
