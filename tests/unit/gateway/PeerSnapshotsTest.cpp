#include "cowslipridge/gateway/PeerSnapshots.hpp"

#include "support/LoopFixture.hpp"

using namespace cowslipridge;
using namespace cowslipridge::gateway;

namespace {

/// Knows what it is told, and nothing of a store.
class KnownControl final : public ControlPlane {
public:
  void start(Peer /*self*/, Listener /*listener*/,
             std::function<void()> /*onSynced*/) override {}
  void advance(const rollout::RolloutStatus & /*status*/,
               const rollout::RolloutProgress & /*progress*/) override {}
  [[nodiscard]] bool hasStoreResponded() const override { return false; }
  void deregister() override {}
  [[nodiscard]] std::optional<std::string> snapshot() const override {
    ++Asked;
    return Known;
  }
  bool adopt(const std::string &snapshot) override {
    ++Offers;
    if (snapshot == "damaged")
      return false;
    Known = snapshot;
    return true;
  }

  std::optional<std::string> Known;
  int Offers = 0;
  mutable int Asked = 0;
};

class PeerSnapshotsTest : public support::LoopFixture {
protected:
  struct Member {
    Member(boost::asio::io_context &loop, const core::Clock &clock)
        : Snapshots(loop, clock, Control, [this](const auto &) { ++Taken; }) {
      boost::asio::ip::tcp::acceptor probe(loop, anyPort());
      At = probe.local_endpoint();
      probe.close();
      Snapshots.listen(At);
    }

    KnownControl Control;
    int Taken = 0;
    PeerSnapshots Snapshots;
    http1::Endpoint At;
  };

  PeerSnapshotsTest() : Knowing(Loop, Clock), Starting(Loop, Clock) {}

  Member Knowing;
  Member Starting;
};

TEST_F(PeerSnapshotsTest, takesWhatAPeerKnows) {
  Knowing.Control.Known = "all of it";
  Starting.Snapshots.ask(Knowing.At);
  Starting.Snapshots.ask(Knowing.At);
  runUntil([&] { return Starting.Taken == 1; });
  EXPECT_EQ(Starting.Control.Known, "all of it");
  EXPECT_EQ(Starting.Control.Offers, 1) << "one peer at a time";
}

TEST_F(PeerSnapshotsTest, aPeerThatKnowsNothingIsAskedAgain) {
  Starting.Snapshots.ask(Knowing.At);
  // Refused once, with the next ask it knows.
  runUntil([&] { return Knowing.Control.Asked > 0; });
  Knowing.Control.Known = "by now";
  runUntil([&] {
    Starting.Snapshots.ask(Knowing.At);
    return Starting.Taken == 1;
  });
  EXPECT_EQ(Starting.Control.Known, "by now");
}

TEST_F(PeerSnapshotsTest, whatCannotBeReadIsNotTaken) {
  Knowing.Control.Known = "damaged";
  Starting.Snapshots.ask(Knowing.At);
  runUntil([&] { return Starting.Control.Offers == 1; });
  EXPECT_EQ(Starting.Taken, 0);
  EXPECT_FALSE(Starting.Control.Known);
}

} // namespace
