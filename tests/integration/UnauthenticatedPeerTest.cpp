// Connections of unauthenticated peers to a sidecar's RPC port.

#include "support/Cluster.hpp"
#include "support/Declarations.hpp"

#include "support/RawSocket.hpp"
#include "support/Waiting.hpp"

#include <gtest/gtest.h>

#include <random>

using namespace cowslipridge;
using namespace cowslipridge::integration;
using cowslipridge::support::eventually;
using cowslipridge::support::RawSocket;
using nlohmann::json;

namespace {

constexpr unsigned Seed = 20'261'203;

class UnauthenticatedPeerTest : public ::testing::Test {
protected:
  void SetUp() override {
    Fleet.publish({fittingText()});
    Runner = &Fleet.addRunner("fit-1");
    Sidecar = &Fleet.addSidecar("fit-1", "fitting", "small@1", *Runner);
    Entry = &Fleet.addEntry("entry-1");
    ASSERT_TRUE(eventually([this] { return servesRequests(); }));
  }

  bool servesRequests() {
    return Caller(Entry->base(), StewardKey)
               .call(makeChat({.Service = "fitting"}))
               .status() == 200;
  }

  [[nodiscard]] RawSocket connect() const {
    return RawSocket::connect(support::loopbackAddress(), Sidecar->rpcPort());
  }

  static std::string randomBytes(std::mt19937 &random, std::size_t size) {
    std::string bytes;
    for (std::size_t i = 0; i < size; ++i)
      bytes += static_cast<char>(random() % 256);
    return bytes;
  }

  Cluster Fleet;
  StandInProcess *Runner = nullptr;
  Daemon *Sidecar = nullptr;
  Daemon *Entry = nullptr;
};

TEST_F(UnauthenticatedPeerTest, survivesGarbageFrames) {
  std::mt19937 random(Seed);
  for (int i = 0; i < 50; ++i) {
    const auto socket = connect();
    ASSERT_TRUE(socket.open());
    socket.send(randomBytes(random, 1 + random() % 2'000));
  }
  EXPECT_TRUE(Sidecar->process().running()) << Sidecar->process().log();
  EXPECT_TRUE(servesRequests());
}

// One segment of 0xfffffff0 words: the frame header announces 32 GB.
TEST_F(UnauthenticatedPeerTest, survivesHugeFrames) {
  const auto socket = connect();
  socket.send(std::string("\x00\x00\x00\x00\xf0\xff\xff\xff", 8));
  socket.send(std::string(std::size_t{64} * 1024, 'x'));
  EXPECT_TRUE(servesRequests());
  EXPECT_TRUE(Sidecar->process().running());
}

TEST_F(UnauthenticatedPeerTest, idleConnectionsDoNotBlockRequests) {
  constexpr std::size_t IdleConnections = 30;
  std::vector<RawSocket> held;
  held.reserve(IdleConnections);
  for (std::size_t i = 0; i < IdleConnections; ++i)
    held.push_back(connect());
  EXPECT_TRUE(servesRequests());
}

TEST_F(UnauthenticatedPeerTest, rejectsAndLogsAPeerWithAnotherFleetKey) {
  DaemonOptions options;
  options.Name = "foreign-1";
  options.FleetKey = std::string(64, 'a');
  Daemon &peer = Fleet.addDaemon(options);
  Caller caller(peer.base(), StewardKey);
  const auto result = caller.call(makeChat({.Service = "fitting"}));
  EXPECT_NE(result.status(), 200);
  EXPECT_TRUE(eventually([&] {
    const std::string log = Sidecar->process().log();
    return log.find("refused") != std::string::npos ||
           log.find("Refused") != std::string::npos;
  })) << Sidecar->process().log();
  EXPECT_TRUE(servesRequests());
}

} // namespace
