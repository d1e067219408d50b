#include "cowslipridge/http1/Server.hpp"

#include "cowslipridge/http1/LoopTimer.hpp"
#include "cowslipridge/http1/internal/ServerConnection.hpp"

#include <algorithm>
#include <unordered_map>
#include <vector>

namespace cowslipridge::http1 {

namespace {

/// Delay before the next accept after a failed one, for example when the file
/// descriptors are exhausted.
constexpr core::Millis AcceptRetryDelay{20};

} // namespace

class Server::Impl : public std::enable_shared_from_this<Impl> {
  using Connections = std::vector<std::shared_ptr<internal::ServerConnection>>;

public:
  Impl(boost::asio::io_context &loop, const core::Clock &clock, Handler handler)
      : Loop(loop), Acceptor(loop), AcceptRetryTimer(loop),
        Context(std::make_shared<internal::ServerContext>(
            internal::ServerContext{clock, std::move(handler)})) {}

  void listenForStalls() {
    Context->CloseStalled = [weak = weak_from_this()] {
      if (const auto self = weak.lock())
        self->endStalled();
    };
  }

  void listen(const Endpoint &address) {
    Acceptor.open(address.protocol());
    Acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    limitSocketBuffers();
    Acceptor.bind(address);
    Acceptor.listen(boost::asio::socket_base::max_listen_connections);
    accept();
  }

  // Accepted sockets inherit the sizes. An option that is refused leaves the
  // operating system's limits in force.
  void limitSocketBuffers() {
    const auto bytes = static_cast<int>(Context->Limits.SocketBufferBytes);
    if (bytes == 0)
      return;
    boost::system::error_code ignored;
    Acceptor.set_option(boost::asio::socket_base::receive_buffer_size(bytes),
                        ignored);
    Acceptor.set_option(boost::asio::socket_base::send_buffer_size(bytes),
                        ignored);
  }

  void accept() {
    Acceptor.async_accept(
        [self = shared_from_this()](const auto &ec, Socket s) {
          if (!self->Acceptor.is_open())
            return;
          if (ec) {
            self->scheduleAccept();
            return;
          }
          self->open(std::move(s));
          self->accept();
        });
  }

  void acceptWaiting() {
    boost::system::error_code ec;
    Acceptor.non_blocking(true, ec);
    for (int i = 0; i < boost::asio::socket_base::max_listen_connections; ++i) {
      Socket socket(Loop);
      Acceptor.accept(socket, ec);
      if (ec)
        return;
      open(std::move(socket));
    }
  }

  void scheduleAccept() {
    AcceptRetryTimer.start(AcceptRetryDelay, [self = shared_from_this()] {
      if (self->Acceptor.is_open())
        self->accept();
    });
  }

  void open(Socket socket) {
    if (Open.size() >= Context->Limits.MaxConnections && !closeForPlace())
      return;
    configureSocket(
        socket, DeadPeerLimits{.UnacknowledgedTimeout = core::Millis(5000)});
    const std::weak_ptr<Impl> weak = weak_from_this();
    const auto connection = std::make_shared<internal::ServerConnection>(
        std::move(socket), Context, [weak](internal::ServerConnection *it) {
          if (const auto self = weak.lock())
            self->Open.erase(it);
        });
    Open.emplace(connection.get(), connection);
    connection->start();
  }

  [[nodiscard]] Connections connections() const {
    Connections all;
    for (const auto &[key, it] : Open)
      all.push_back(it);
    return all;
  }

  static std::vector<internal::ConnectionState>
  statesOf(const Connections &all) {
    std::vector<internal::ConnectionState> states;
    for (const auto &it : all)
      states.push_back(it->state());
    return states;
  }

  void shutDownConnections(bool idleOnly) {
    for (const auto &it : connections()) {
      if (!idleOnly || it->isIdle())
        it->shutDown();
    }
  }

  bool closeForPlace() {
    const Connections all = connections();
    const auto chosen = internal::chooseForPlace(statesOf(all));
    if (chosen)
      all[*chosen]->shutDown();
    return chosen.has_value();
  }

  bool endLargest(std::size_t minBytes) {
    const Connections all = connections();
    const auto chosen = internal::chooseForBytes(statesOf(all), minBytes);
    if (chosen)
      all[*chosen]->endForLackOfRoom();
    return chosen.has_value();
  }

  // Ends the connections whose bodies hold room and don't arrive.
  void endStalled() {
    for (const auto &it : connections()) {
      if (it->holdsRoom() && internal::isStalled(it->state()))
        it->endForLackOfRoom();
    }
  }

  [[nodiscard]] std::size_t unfinished() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        Open, [](const auto &it) { return !it.second->isIdle(); }));
  }

  void stop() {
    boost::system::error_code ignored;
    Acceptor.close(ignored);
    AcceptRetryTimer.cancel();
    shutDownConnections(false);
  }

  boost::asio::io_context &Loop;
  boost::asio::ip::tcp::acceptor Acceptor;
  LoopTimer AcceptRetryTimer;
  std::shared_ptr<internal::ServerContext> Context;
  std::unordered_map<internal::ServerConnection *,
                     std::shared_ptr<internal::ServerConnection>>
      Open;
};

Server::Server(boost::asio::io_context &loop, const core::Clock &clock,
               Handler handler)
    : Internals(std::make_shared<Impl>(loop, clock, std::move(handler))) {
  Internals->listenForStalls();
}
Server::~Server() { Internals->stop(); }

void Server::listen(const Endpoint &address) { Internals->listen(address); }
void Server::setLimits(const ServerLimits &limits) {
  Internals->Context->Limits = limits;
}
void Server::setBufferBudget(const BufferBudget &budget,
                             BudgetHandlers handlers) {
  Internals->Context->Buffers = budget;
  Internals->Context->OnBudget = std::move(handlers);
}
void Server::setHeadFilter(HeadFilter filter) {
  Internals->Context->Filter = std::move(filter);
}
bool Server::endLargest(std::size_t minBytes) {
  return Internals->endLargest(minBytes);
}
void Server::closeAfterResponses() {
  Internals->Context->CloseAfterResponses = true;
}
void Server::acceptWaiting() { Internals->acceptWaiting(); }
void Server::closeIdle() { Internals->shutDownConnections(true); }
void Server::stop() { Internals->stop(); }
std::size_t Server::connections() const { return Internals->Open.size(); }
std::size_t Server::unfinished() const { return Internals->unfinished(); }
std::size_t Server::inFlight() const { return Internals->Context->InFlight; }

} // namespace cowslipridge::http1
