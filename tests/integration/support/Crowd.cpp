#include "Crowd.hpp"

#include "cowslipridge/core/Chrono.hpp"
#include "cowslipridge/http1/LoopTimer.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <utility>

namespace cowslipridge::integration {

class Crowd::Client : public std::enable_shared_from_this<Client> {
public:
  Client(boost::asio::io_context &loop, ClientScript script)
      : Socket(loop), Pause(loop), Script(std::move(script)) {}

  void connect(const boost::asio::ip::tcp::endpoint &server) {
    Socket.async_connect(server, [self = shared_from_this()](const auto &ec) {
      if (!ec)
        self->configure();
    });
  }

  void close() {
    boost::system::error_code ignored;
    Pause.cancel();
    Socket.close(ignored);
  }

private:
  void configure() {
    boost::system::error_code ignored;
    Socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    writePiece();
  }

  void writePiece() {
    if (Sent >= Script.Bytes.size() || !Socket.is_open())
      return;
    const std::size_t n =
        std::min(Script.PieceBytes, Script.Bytes.size() - Sent);
    boost::asio::async_write(
        Socket, boost::asio::buffer(Script.Bytes.data() + Sent, n),
        [self = shared_from_this()](const auto &ec, std::size_t written) {
          if (!ec)
            self->onWritten(written);
        });
  }

  void onWritten(std::size_t n) {
    Sent += n;
    if (Script.Pause == core::Millis())
      writePiece();
    else
      Pause.start(Script.Pause,
                  [self = shared_from_this()] { self->writePiece(); });
  }

  boost::asio::ip::tcp::socket Socket;
  http1::LoopTimer Pause;
  const ClientScript Script;
  std::size_t Sent = 0;
};

Crowd::Crowd(boost::asio::io_context &loop) : Loop(loop) {}

Crowd::~Crowd() { close(); }

void Crowd::close() {
  for (const auto &it : Clients)
    it->close();
}

void Crowd::add(const boost::asio::ip::tcp::endpoint &server,
                ClientScript script) {
  Clients.push_back(std::make_shared<Client>(Loop, std::move(script)));
  Clients.back()->connect(server);
}

} // namespace cowslipridge::integration
