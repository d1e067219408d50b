#include "cowslipridge/entry/Entry.hpp"

#include "cowslipridge/rpc/Server.hpp"
#include "support/Loopback.hpp"
#include "support/Waiting.hpp"

#include <gtest/gtest.h>

#include <atomic>

using namespace cowslipridge;
using namespace cowslipridge::entry;
using support::eventually;

namespace {

const std::string FleetKey(32, 'k');
/// Longer than several ticks and probes of an entry.
constexpr core::Millis SeveralTicks{1'500};

/// A sidecar that exchanges status and runs nothing.
class StatusPeer final : public rpc::PeerHandler {
public:
  std::shared_ptr<rpc::IncomingCall>
  run(rpc::RunRequest /*request*/,
      std::shared_ptr<rpc::AnswerSink> /*sink*/) override {
    return nullptr;
  }
  rpc::PeerStatus exchange(const rpc::PeerStatus & /*status*/) override {
    rpc::PeerStatus reply;
    reply.Instance = core::InstanceId("sidecar-1");
    reply.Start = core::Incarnation(1);
    return reply;
  }
  rpc::BundleContent bundle() override { return {}; }
  core::Generation offerBundle(const core::InstanceId & /*sender*/,
                               rpc::BundleContent /*content*/) override {
    return {};
  }
  unsigned deliverBills(const core::InstanceId & /*sender*/,
                        const std::vector<std::string> & /*lines*/) override {
    return 0;
  }
};

/// An entry and one sidecar, each on an event loop of its own.
class EntryTest : public ::testing::Test {
protected:
  EntryTest()
      : Events(Time, core::InstanceId("entry-1"), core::Incarnation(1), 64),
        Sidecar(SidecarLoop, serverSettings(), std::make_shared<StatusPeer>(),
                Events),
        Tested(std::make_shared<Entry>(Loop, Time, Events, entrySettings(),
                                       countingPort())) {}

  ~EntryTest() override {
    Loop.call([this] { Tested.reset(); });
  }

  void SetUp() override {
    ASSERT_FALSE(Sidecar.open());
    Loop.call([this] { Tested->startTicking(); });
  }

  void applyList() {
    backing::InstanceRecord record;
    record.Name = core::InstanceId("sidecar-1");
    record.Kind = backing::Role::Sidecar;
    record.Start = core::Incarnation(1);
    record.Address = Server.Address;
    record.RpcPort = Server.Port;
    Loop.call([&] { Tested->context().Peers->applyInstanceList({record}); });
  }

  void close() {
    Loop.call([this] { Tested->close(); });
  }

  /// Waits until the loop has run all that is due within several ticks.
  void passSeveralTicks() {
    support::EventualValue<bool> passed;
    Loop.postAfter(SeveralTicks, [&] { passed.set(true); });
    ASSERT_TRUE(passed.get());
  }

  std::atomic<unsigned> Reads = 0;   ///< of the state of the configuration
  std::atomic<unsigned> Reports = 0; ///< of a status to the configuration

private:
  rpc::ServerSettings serverSettings() {
    Server.Address = support::loopbackAddress();
    Server.Port = support::nextPort();
    Server.FleetKey = FleetKey;
    return Server;
  }

  static EntrySettings entrySettings() {
    EntrySettings settings;
    settings.Instance = core::InstanceId("entry-1");
    settings.Start = core::Incarnation(1);
    settings.FleetKey = FleetKey;
    settings.SessionKey = std::string(32, 's');
    return settings;
  }

  rpc::ConfigurationPort countingPort() {
    rpc::ConfigurationPort port;
    port.State = [this] {
      ++Reads;
      return rpc::ConfigurationState{};
    };
    port.Bundle = [] { return rpc::BundleContent{}; };
    port.OnPeer = [this](const rpc::PeerStatus &, core::Millis) { ++Reports; };
    port.OnOffer = [](const core::InstanceId &, const rpc::BundleContent &) {};
    return port;
  }

  core::SystemClock Time;
  observe::EventLog Events;
  rpc::ServerSettings Server;
  rpc::EventLoop SidecarLoop;
  rpc::EventLoop Loop;
  rpc::Server Sidecar;
  std::shared_ptr<Entry> Tested;
};

// The daemon destroys its configuration before its entry. A tick in between
// asked the destroyed configuration for its state: signal 11 after a drain.
TEST_F(EntryTest, asksNothingOfItsConfigurationAfterItIsClosed) {
  applyList();
  ASSERT_TRUE(eventually([&] { return Reads > 1 && Reports > 1; }));
  close();
  const unsigned readsBefore = Reads;
  const unsigned reportsBefore = Reports;
  passSeveralTicks();
  EXPECT_EQ(Reads, readsBefore);
  EXPECT_EQ(Reports, reportsBefore);
}

// An instance list that was fetched before the end and is applied after it
// connected the closed entry again, and asked its configuration as above.
TEST_F(EntryTest, connectsToNoSidecarAfterItIsClosed) {
  close();
  applyList();
  passSeveralTicks();
  EXPECT_EQ(Reads, 0U);
  EXPECT_EQ(Reports, 0U);
}

} // namespace
