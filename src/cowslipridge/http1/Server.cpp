#include "cowslipridge/http1/Server.hpp"

#include "cowslipridge/http1/internal/ServerConnection.hpp"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <unordered_map>
#include <vector>

namespace cowslipridge::http1 {

namespace {

/// Pause after a failed accept, as when descriptors have run out.
constexpr std::chrono::milliseconds AcceptPause{20};

} // namespace

class Server::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(boost::asio::io_context &loop, const core::Clock &clock, Handler handler)
      : Loop(loop), Acceptor(loop), Pause(loop),
        Shared(std::make_shared<internal::ServerShared>(
            internal::ServerShared{clock, std::move(handler), {}, false, 0})) {}

  void listen(const Endpoint &address) {
    Acceptor.open(address.protocol());
    Acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    Acceptor.bind(address);
    Acceptor.listen(boost::asio::socket_base::max_listen_connections);
    accept();
  }

  void accept() {
    Acceptor.async_accept(
        [self = shared_from_this()](const auto &ec, Socket s) {
          if (!self->Acceptor.is_open())
            return;
          if (ec) {
            self->acceptLater();
            return;
          }
          self->open(std::move(s));
          self->accept();
        });
  }

  void acceptLater() {
    Pause.expires_after(AcceptPause);
    Pause.async_wait([self = shared_from_this()](const auto &ec) {
      if (!ec && self->Acceptor.is_open())
        self->accept();
    });
  }

  void open(Socket socket) {
    tune(socket, DeadPeerLimits{.Unacknowledged = core::Millis(5000)});
    const std::weak_ptr<Impl> weak = weak_from_this();
    const auto connection = std::make_shared<internal::ServerConnection>(
        std::move(socket), Shared, [weak](internal::ServerConnection *it) {
          if (const auto self = weak.lock())
            self->Open.erase(it);
        });
    Open.emplace(connection.get(), connection);
    connection->start();
  }

  void forEach(bool idleOnly) {
    std::vector<std::shared_ptr<internal::ServerConnection>> all;
    for (const auto &[key, it] : Open) {
      if (!idleOnly || it->isIdle())
        all.push_back(it);
    }
    for (const auto &it : all)
      it->shutDown();
  }

  void stop() {
    boost::system::error_code ignored;
    Acceptor.close(ignored);
    Pause.cancel();
    forEach(false);
  }

  boost::asio::io_context &Loop;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer Pause;
  std::shared_ptr<internal::ServerShared> Shared;
  std::unordered_map<internal::ServerConnection *,
                     std::shared_ptr<internal::ServerConnection>>
      Open;
};

Server::Server(boost::asio::io_context &loop, const core::Clock &clock,
               Handler handler)
    : Internals(std::make_shared<Impl>(loop, clock, std::move(handler))) {}
Server::~Server() { Internals->stop(); }

void Server::listen(const Endpoint &address) { Internals->listen(address); }
void Server::setLimits(const ServerLimits &limits) {
  Internals->Shared->Limits = limits;
}
void Server::closeAfterResponses() {
  Internals->Shared->CloseAfterAnswers = true;
}
void Server::closeIdle() { Internals->forEach(true); }
void Server::stop() { Internals->stop(); }
std::size_t Server::connections() const { return Internals->Open.size(); }
std::size_t Server::inFlight() const { return Internals->Shared->InFlight; }

} // namespace cowslipridge::http1
