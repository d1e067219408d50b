#pragma once

#include "support/LoopFixture.hpp"

#include "cowslipridge/http1/Client.hpp"
#include "cowslipridge/http1/Fetch.hpp"

#include <deque>
#include <vector>

namespace cowslipridge::http1 {

using support::CallRecorder;

/// Calls a server that writes scripted bytes. Each request, on any connection,
/// consumes one script.
class ClientTest : public support::LoopFixture {
protected:
  ClientTest()
      : Acceptor(Loop, anyPort()), Address(Acceptor.local_endpoint()),
        HttpClient(Loop, Clock, Limits) {
    accept();
  }

  struct Script {
    std::string Bytes;
    bool Close = false;
    std::string Repeated = {}; ///< written again and again after `Bytes`
  };

  void accept() {
    Acceptor.async_accept([this](const auto &ec, Socket socket) {
      if (ec)
        return;
      Peers.push_back(std::make_shared<Socket>(std::move(socket)));
      serve(Peers.back());
      accept();
    });
  }

  void serve(const std::shared_ptr<Socket> &peer) {
    const auto input = std::make_shared<std::string>();
    boost::asio::async_read_until(
        *peer, boost::asio::dynamic_buffer(*input), "\r\n\r\n",
        [this, peer, input](const auto &ec, std::size_t) {
          if (ec)
            return;
          ++Requests;
          LastRequest = *input;
          if (Scripts.empty())
            return;
          const Script script = Scripts.front();
          Scripts.pop_front();
          // The client may have closed the connection meanwhile.
          boost::system::error_code ignored;
          boost::asio::write(*peer, boost::asio::buffer(script.Bytes), ignored);
          if (!script.Repeated.empty())
            writeWithoutEnd(peer, script.Repeated);
          else if (script.Close)
            peer->close();
          else
            serve(peer);
        });
  }

  void writeWithoutEnd(const std::shared_ptr<Socket> &peer,
                       const std::string &text) {
    const auto bytes = std::make_shared<std::string>();
    while (bytes->size() < 16'384)
      *bytes += text;
    boost::asio::async_write(
        *peer, boost::asio::buffer(*bytes),
        [this, peer, bytes, text](const auto &ec, std::size_t n) {
          Written += n;
          if (!ec)
            writeWithoutEnd(peer, text);
        });
  }

  /// Expects that the client gives up on the endless bytes long before the
  /// call's timeout, and closes the connection.
  void expectGivesUp(CallFailure failure) {
    constexpr std::size_t MaxWritten = 32UL * 1024 * 1024;
    CallTimeout = core::Millis(60'000);
    EXPECT_EQ(callAndWait()->Failure, failure);
    EXPECT_LT(Written, MaxWritten);
  }

  std::shared_ptr<CallRecorder> call(const std::string &id = "a") {
    auto events = std::make_shared<CallRecorder>();
    call(id, events);
    return events;
  }
  void call(const std::string &id, std::shared_ptr<CallEvents> events) {
    CallSpec spec;
    spec.Server = Address;
    spec.Bytes = requestBytes(id);
    spec.Recompose = Recompose;
    spec.EchoField = "Id";
    spec.EchoValue = id;
    spec.Timeout = CallTimeout;
    spec.MaxConnections = MaxConnections;
    Handle = HttpClient.call(std::move(spec), std::move(events));
  }

  static std::string requestBytes(const std::string &id) {
    return "GET / HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n\r\n";
  }

  std::shared_ptr<CallRecorder> callAndWait(const std::string &id = "a") {
    auto events = call(id);
    runUntil([&] { return events->isFinished(); });
    return events;
  }

  FetchResult fetchAndWait() {
    CallSpec spec;
    spec.Server = Address;
    spec.Bytes = requestBytes("a");
    spec.Timeout = CallTimeout;
    std::optional<FetchResult> result;
    fetch(HttpClient, std::move(spec),
          [&](FetchResult it) { result = std::move(it); });
    runUntil([&] { return result.has_value(); });
    return result.value_or(FetchResult());
  }

  static std::string response(const std::string &id, const std::string &body) {
    return "HTTP/1.1 200 OK\r\nId: " + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  }

  const ClientLimits Limits;
  Tcp::acceptor Acceptor;
  Endpoint Address;
  Client HttpClient;
  std::vector<std::shared_ptr<Socket>> Peers;
  std::deque<Script> Scripts;
  std::shared_ptr<Call> Handle;
  core::Millis CallTimeout{5'000};
  std::size_t MaxConnections = 4;
  std::function<std::optional<std::string>(core::Millis)> Recompose;
  int Requests = 0;
  std::string LastRequest; ///< as much of it as was read with its head
  std::size_t Written = 0; ///< bytes of endless responses
};

} // namespace cowslipridge::http1
