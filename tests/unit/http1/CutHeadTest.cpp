#include "unit/http1/ClientFixture.hpp"

using namespace cowslipridge;
using namespace cowslipridge::http1;

namespace {

/// Heads of a runner that stops in the middle of them.
class CutHeadTest : public ClientTest {
protected:
  static std::vector<std::string> heads() {
    const std::string status = "HTTP/1.1 200 OK\r\nId: a\r\n";
    return {status + "Content-Length: 12\r\n\r\n",
            status + "Transfer-Encoding: chunked\r\n\r\n",
            status + "Connection: close\r\n\r\n",
            "HTTP/1.1 100 Continue\r\n\r\n" + status +
                "Content-Length: 0\r\n\r\n"};
  }

  /// Lets `check` look at the outcome of a call for each number of bytes of
  /// each head after which the server ends the connection.
  template <typename Check> void forEachCut(Check check) {
    for (const std::string &head : heads()) {
      for (std::size_t n = 0; n < head.size(); ++n) {
        Scripts.push_back({head.substr(0, n), true});
        check(head.substr(0, n));
      }
    }
  }
};

// Guards against a 200 with an empty or short body, framed as complete, for an
// answer whose head is cut.
TEST_F(CutHeadTest, isNoAnswerWhereverItIsCut) {
  forEachCut([&](const std::string &sent) {
    const auto outcome = callAndWait();
    EXPECT_FALSE(outcome->Ended) << sent;
    EXPECT_EQ(outcome->Status, 0) << sent;
    EXPECT_EQ(outcome->Failure, CallFailure::BrokenBeforeResponse) << sent;
  });
}

TEST_F(CutHeadTest, isNoResponseOfTheStore) {
  forEachCut([&](const std::string &sent) {
    const FetchResult result = fetchAndWait();
    EXPECT_EQ(result.Status, 0) << sent;
    EXPECT_EQ(result.Failure, CallFailure::BrokenBeforeResponse) << sent;
  });
}

// A response without a length ends with its connection, but not by a reset.
TEST_F(CutHeadTest, resetBehindAHeadWithoutLengthIsNoCompleteAnswer) {
  Scripts.push_back({heads()[2], false});
  const auto outcome = call();
  runUntil([&] { return outcome->Status == 200; });
  reset(*Peers.back());
  runUntil([&] { return outcome->isFinished(); });
  EXPECT_FALSE(outcome->Ended);
  EXPECT_EQ(outcome->Failure, CallFailure::Broken);
}

} // namespace
