// What callers of the daemons get, and what they are billed, when a runner's
// answer is none.

#include "support/Cluster.hpp"
#include "support/Declarations.hpp"

#include "cowslipridge/backing/ConsulStore.hpp"
#include "cowslipridge/ledger/BillReader.hpp"

#include "support/BrokenAnswers.hpp"
#include "support/RawSocket.hpp"
#include "support/Waiting.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <mutex>
#include <thread>

using namespace cowslipridge;
using namespace cowslipridge::integration;
using cowslipridge::support::eventually;
using cowslipridge::support::RawListener;
using cowslipridge::support::RawSocket;

namespace {

const std::string SoundAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// A plain runner that answers each request with the bytes that were set last,
/// and closes the connection.
class RawRunner {
public:
  RawRunner() : Worker([this] { run(); }) {}
  ~RawRunner() {
    Stopping = true;
    RawSocket::connect(support::loopbackAddress(), Port);
    Worker.join();
  }
  RawRunner(const RawRunner &) = delete;
  RawRunner &operator=(const RawRunner &) = delete;

  [[nodiscard]] std::string base() const { return support::baseUrl(Port); }
  void setAnswer(const std::string &bytes) {
    const std::lock_guard lock(Guard);
    Answer = bytes;
  }
  [[nodiscard]] int bookings() const { return Bookings; }

private:
  void run() {
    while (!Stopping) {
      const RawSocket socket = Listener.accept();
      if (!socket.open() || Stopping)
        continue;
      const std::string request = socket.receiveUntil("\r\n\r\n");
      Bookings += request.starts_with("POST ") ? 1 : 0;
      socket.send(answer());
    }
  }

  std::string answer() {
    const std::lock_guard lock(Guard);
    return Answer;
  }

  const std::uint16_t Port = support::nextPort();
  RawListener Listener{support::loopbackAddress(), Port};
  std::mutex Guard;
  std::string Answer = SoundAnswer;
  std::atomic<int> Bookings = 0;
  std::atomic<bool> Stopping = false;
  std::thread Worker;
};

class BrokenRunnerAnswerTest : public ::testing::Test {
protected:
  void SetUp() override {
    Fleet.publish({deskText()});
    DaemonOptions sidecar;
    sidecar.Name = "desk-1";
    sidecar.Role = "sidecar";
    sidecar.Service = "desk";
    sidecar.Versions = "desk@1";
    sidecar.RunnerAddress = Runner.base();
    Fleet.addDaemon(sidecar);
    Entry = &Fleet.addEntry("entry-1");
    ASSERT_TRUE(eventually([&] {
      return Caller(Entry->base(), StewardKey)
                 .get("/services/desk/rinks")
                 .status() == 200;
    })) << Entry->process().log();
  }

  CallResult book(const std::string &key) {
    return Caller(Entry->base(), StewardKey)
        .call({"POST",
               "/services/desk/bookings",
               {{"Idempotency-Key", key}},
               ""});
  }

  ledger::BillReport readBills() {
    const auto port =
        backing::makeConsulStore(Fleet.store().Base, core::Millis(5'000));
    support::EventualValue<core::Result<ledger::BillReport>> received;
    ledger::readBills(*port, core::ServiceId("desk"),
                      [&](const auto &report) { received.set(report); });
    const auto report = received.get();
    return report && report->ok() ? report->value() : ledger::BillReport{};
  }

  RawRunner Runner;
  Cluster Fleet;
  Daemon *Entry = nullptr;
};

// Guards against callers that get an answer that is none, as one of a request
// that ran.
TEST_F(BrokenRunnerAnswerTest, isAFailureWithAnUnknownOutcome) {
  const auto forms = support::brokenAnswers("");
  int n = 0;
  for (const support::BrokenAnswer &it : forms) {
    Runner.setAnswer(it.Bytes);
    const auto result = book(it.Name);
    EXPECT_EQ(result.status(), 502) << it.Name;
    EXPECT_EQ(result.header("Cowslipridge-Outcome"), "unknown") << it.Name;
    EXPECT_EQ(Runner.bookings(), ++n) << it.Name;
    Runner.setAnswer(SoundAnswer);
    EXPECT_EQ(book("sound " + it.Name).status(), 200) << it.Name;
    ++n;
  }
  // Who asks for a bill sees what is not known.
  EXPECT_TRUE(eventually([&] {
    return readBills().Unsettled.size() == forms.size();
  })) << readBills().Unsettled.size();
}

} // namespace
