#include "ServerFixture.hpp"

#include "support/ProcessPause.hpp"
#include "support/RawSocket.hpp"

#include <atomic>
#include <mutex>
#include <set>
#include <thread>

using namespace cowslipridge;
using namespace cowslipridge::http;
using cowslipridge::support::RawListener;
using cowslipridge::support::RawSocket;

namespace {

/// Answers one request on each connection, one connection after another, and
/// keeps the targets.
class TargetLog {
public:
  explicit TargetLog(std::uint16_t port)
      : Port(port), Listener(support::loopbackAddress(), port),
        Acceptor([this] { run(); }) {}

  ~TargetLog() { received(); }
  TargetLog(const TargetLog &) = delete;
  TargetLog &operator=(const TargetLog &) = delete;

  /// Handles all connections made so far, stops and returns the targets.
  const std::set<std::string> &received() {
    if (Acceptor.joinable()) {
      const auto last = RawSocket::connect(support::loopbackAddress(), Port);
      last.send("STOP /stop \r\n");
      Acceptor.join();
    }
    return Targets;
  }

private:
  void run() {
    while (!Targets.contains("/stop")) {
      const RawSocket socket = Listener.accept();
      const std::string head = socket.open() ? socket.receiveUntil("\r\n") : "";
      if (!head.empty())
        Targets.insert(targetOf(head));
      socket.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
  }

  // The target is the second word.
  static std::string targetOf(const std::string &head) {
    const std::size_t begin = head.find(' ') + 1;
    return head.substr(begin, head.find(' ', begin) - begin);
  }

  const std::uint16_t Port;
  std::set<std::string> Targets; ///< of the acceptor until it ends
  RawListener Listener;
  std::thread Acceptor;
};

class ClientPauseTest : public ::testing::Test {
protected:
  static constexpr core::Millis Timeout{100};
  static constexpr std::chrono::milliseconds PauseLength{150};

  /// Sends requests with targets that begin with `prefix` until the test stops.
  void sendUntilStopped(const std::string &prefix) {
    Client client(support::baseUrl(Port), Timeout);
    for (int n = 0; !Stopping; ++n) {
      auto recorder = std::make_shared<Recorder>();
      const std::string target = prefix + std::to_string(n);
      client.send({"POST", target, {}, "x"}, record(recorder));
      const auto seen = recorder->Ended.get();
      ASSERT_TRUE(seen);
      const std::lock_guard lock(Guard);
      ++Sent;
      if (seen->Error)
        ++Failed;
      if (seen->Error && seen->Stage == SendStage::NotConnected)
        NotConnected.push_back(target);
    }
  }

  std::uint16_t Port = support::nextPort();
  std::atomic<bool> Stopping = false;
  std::mutex Guard;
  int Sent = 0;
  int Failed = 0;
  std::vector<std::string> NotConnected;
};

// Guards against "nothing was sent" of a request that was sent: the process
// stands still for longer than the client's timeout, so that connections are
// made and timeouts expire at once when it runs again.
TEST_F(ClientPauseTest, noRequestThatWasSentCountsAsNotConnected) {
  constexpr int Pauses = 16;
  TargetLog server(Port);
  std::vector<std::thread> workers;
  for (const std::string prefix : {"/a", "/b", "/c", "/d"})
    workers.emplace_back([this, prefix] { sendUntilStopped(prefix); });
  for (int n = 0; n < Pauses; ++n)
    const support::ProcessPause pause(std::chrono::milliseconds(n),
                                      PauseLength);
  Stopping = true;
  for (std::thread &it : workers)
    it.join();
  for (const std::string &it : NotConnected)
    EXPECT_FALSE(server.received().contains(it)) << it;
  RecordProperty("sent", Sent);
  RecordProperty("failed", Failed);
  RecordProperty("not_connected", static_cast<int>(NotConnected.size()));
  EXPECT_GT(Sent, Pauses);
}

} // namespace
