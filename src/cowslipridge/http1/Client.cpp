#include "cowslipridge/http1/Client.hpp"

#include "cowslipridge/http1/internal/ClientConnection.hpp"

#include <boost/asio/post.hpp>

#include <map>
#include <unordered_map>
#include <vector>

namespace cowslipridge::http1 {

std::string_view toString(CallFailure failure) {
  switch (failure) {
  case CallFailure::NotConnected:
    return "not-connected";
  case CallFailure::ConnectionLimitReached:
    return "no-room";
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

namespace {

/// A call that never got a connection.
class RefusedCall final : public Call {
public:
  explicit RefusedCall(std::shared_ptr<CallEvents> events)
      : Events(std::move(events)) {}
  void deliver() {
    if (Events)
      Events->onFailure(CallFailure::ConnectionLimitReached);
  }
  void cancel() override { Events = nullptr; }
  void pause() override {}
  void resume() override {}

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
    Connection connection = takeIdle(spec.Server);
    if (!connection && openTo(spec.Server) >= spec.MaxConnections)
      return refuse(std::move(events));
    if (!connection)
      connection = open(spec.Server);
    return connection->start(std::move(spec), std::move(events));
  }

  void closeAll() {
    auto all = std::exchange(Open, {});
    for (const auto &[key, it] : all)
      it.second->shutDown();
  }

  std::size_t Opened = 0;

private:
  std::shared_ptr<Call> refuse(std::shared_ptr<CallEvents> events) {
    const auto refused = std::make_shared<RefusedCall>(std::move(events));
    boost::asio::post(Loop, [refused] { refused->deliver(); });
    return refused;
  }

  [[nodiscard]] std::size_t openTo(const Endpoint &server) const {
    const auto it = Counts.find(server);
    return it == Counts.end() ? 0 : it->second;
  }

  Connection takeIdle(const Endpoint &server) {
    const core::Millis now = Clock.monotonic();
    // Looked up anew each time: a connection that is shut down drops itself.
    for (auto it = Idle.find(server); it != Idle.end();
         it = Idle.find(server)) {
      // The one used last is the least likely to be closed by the server.
      Connection connection = it->second.back();
      it->second.pop_back();
      if (it->second.empty())
        Idle.erase(it);
      if (connection->isUsable(now))
        return connection;
      connection->shutDown();
    }
    return nullptr;
  }

  Connection open(const Endpoint &server) {
    const std::weak_ptr<Impl> weak = weak_from_this();
    internal::ClientConnection::Owner owner{
        [weak, server](const Connection &it) {
          if (const auto self = weak.lock())
            self->Idle[server].push_back(it);
        },
        [weak, server](internal::ClientConnection *it) {
          if (const auto self = weak.lock())
            self->drop(server, it);
        }};
    auto connection = std::make_shared<internal::ClientConnection>(
        Loop, Clock, Limits, std::move(owner));
    Open.emplace(connection.get(), std::pair(server, connection));
    ++Counts[server];
    ++Opened;
    return connection;
  }

  void drop(const Endpoint &server, internal::ClientConnection *connection) {
    const auto idle = Idle.find(server);
    if (idle != Idle.end()) {
      std::erase_if(idle->second, [&](const Connection &it) {
        return it.get() == connection;
      });
      if (idle->second.empty())
        Idle.erase(idle);
    }
    const auto count = Counts.find(server);
    if (Open.erase(connection) != 0 && --count->second == 0)
      Counts.erase(count);
  }

  boost::asio::io_context &Loop;
  const core::Clock &Clock;
  const ClientLimits Limits;
  // Servers come and go: neither map keeps an entry without a connection.
  std::map<Endpoint, std::vector<Connection>> Idle; ///< lists are not empty
  std::map<Endpoint, std::size_t> Counts;           ///< open ones
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
std::size_t Client::opened() const { return Internals->Opened; }

} // namespace cowslipridge::http1
