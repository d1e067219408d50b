#include "cowslipridge/gateway/PeerSnapshots.hpp"

#include "support/BrokenAnswers.hpp"
#include "support/LoopFixture.hpp"
#include "support/RawServer.hpp"

using namespace cowslipridge;
using namespace cowslipridge::gateway;

namespace {

/// Control plane without a store; holds one snapshot.
class FakeControlPlane final : public ControlPlane {
public:
  void start(Peer /*self*/, Listener /*listener*/,
             std::function<void()> /*onSynced*/) override {}
  void recordQuarantine(const limits::QuarantinedTrait & /*segment*/) override {
  }
  void advance(const rollout::RolloutStatus & /*status*/,
               const rollout::RolloutProgress & /*progress*/) override {}
  [[nodiscard]] bool hasStoreResponded() const override { return false; }
  void deregister() override {}
  [[nodiscard]] std::optional<std::string> snapshot() const override {
    ++SnapshotRequests;
    return Snapshot;
  }
  bool adopt(const std::string &snapshot) override {
    ++AdoptCalls;
    if (snapshot == "damaged")
      return false;
    Snapshot = snapshot;
    return true;
  }

  std::optional<std::string> Snapshot;
  int AdoptCalls = 0;
  mutable int SnapshotRequests = 0;
};

class PeerSnapshotsTest : public support::LoopFixture {
protected:
  struct Member {
    Member(boost::asio::io_context &loop, const core::Clock &clock)
        : Snapshots(loop, clock, Control, [this](const auto &) { ++Adopted; }) {
      boost::asio::ip::tcp::acceptor probe(loop, anyPort());
      Address = probe.local_endpoint();
      probe.close();
      Snapshots.listen(Address);
    }

    FakeControlPlane Control;
    int Adopted = 0;
    PeerSnapshots Snapshots;
    http1::Endpoint Address;
  };

  PeerSnapshotsTest() : Synced(Loop, Clock), Starting(Loop, Clock) {}

  Member Synced;
  Member Starting;
};

TEST_F(PeerSnapshotsTest, adoptsThePeersSnapshot) {
  Synced.Control.Snapshot = "all of it";
  Starting.Snapshots.fetch(Synced.Address);
  Starting.Snapshots.fetch(Synced.Address);
  runUntil([&] { return Starting.Adopted == 1; });
  EXPECT_EQ(Starting.Control.Snapshot, "all of it");
  EXPECT_EQ(Starting.Control.AdoptCalls, 1)
      << "fetches from one peer at a time";
}

TEST_F(PeerSnapshotsTest, fetchesAgainFromAPeerThatHadNoSnapshot) {
  Starting.Snapshots.fetch(Synced.Address);
  // The first fetch fails; the peer has a snapshot by the next one.
  runUntil([&] { return Synced.Control.SnapshotRequests > 0; });
  Synced.Control.Snapshot = "by now";
  runUntil([&] {
    Starting.Snapshots.fetch(Synced.Address);
    return Starting.Adopted == 1;
  });
  EXPECT_EQ(Starting.Control.Snapshot, "by now");
}

TEST_F(PeerSnapshotsTest, ignoresASnapshotThatCannotBeParsed) {
  Synced.Control.Snapshot = "damaged";
  Starting.Snapshots.fetch(Synced.Address);
  runUntil([&] { return Starting.Control.AdoptCalls == 1; });
  EXPECT_EQ(Starting.Adopted, 0);
  EXPECT_FALSE(Starting.Control.Snapshot);
}

/// A peer whose answer is none.
class BrokenPeerAnswerTest
    : public PeerSnapshotsTest,
      public testing::WithParamInterface<support::BrokenAnswer> {};

TEST_P(BrokenPeerAnswerTest, isNoSnapshot) {
  int answered = 0;
  const support::RawServer peer(Loop, anyPort(),
                                support::RawBehaviour::AnswersAndCloses,
                                [&](const std::string &) {
                                  ++answered;
                                  return GetParam().Bytes;
                                });
  // Another fetch begins only once the one before has ended.
  runUntil([&] {
    Starting.Snapshots.fetch(peer.address());
    return answered == 2;
  });
  EXPECT_EQ(Starting.Control.AdoptCalls, 0);
}

INSTANTIATE_TEST_SUITE_P(Forms, BrokenPeerAnswerTest,
                         testing::ValuesIn(support::brokenAnswers("")),
                         [](const auto &it) { return it.param.Name; });

} // namespace
