#include "FixedReplyServer.hpp"
#include "ServerFixture.hpp"

#include "cowslipridge/core/Error.hpp"

#include "support/BrokenAnswers.hpp"

using namespace cowslipridge;
using namespace cowslipridge::http;

namespace {

class BrokenAnswerTest
    : public ::testing::Test,
      public testing::WithParamInterface<support::BrokenAnswer> {
protected:
  [[nodiscard]] Recorded exchange(const std::string &method) const {
    const FixedReplyServer server(Port, GetParam().Bytes);
    Client client(support::baseUrl(Port), ReplyTimeout);
    auto recorder = std::make_shared<Recorder>();
    client.send({method, "/", {}, "x"}, record(recorder));
    return recorder->Ended.get().value_or(Recorded{});
  }

  std::uint16_t Port = support::nextPort();
};

TEST_P(BrokenAnswerTest, failsAndItsRequestMayHaveBeenSent) {
  const auto seen = exchange("POST");
  EXPECT_EQ(seen.Error, core::Errc::RunnerFailed);
  EXPECT_EQ(seen.Stage, SendStage::MayBeSent);
}

std::vector<support::BrokenAnswer> allAnswers() {
  auto all = support::brokenAnswers("");
  const std::string rest = "Content-Length: 2\r\n\r\nok";
  all.push_back({"PartOfABody", "HTTP/1.1 206 Partial Content\r\n" + rest});
  all.push_back({"ContentEncoded",
                 "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n" + rest});
  all.push_back({"TwoTypes", "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\n"
                             "Content-Type: application/json\r\n" +
                                 rest});
  return all;
}

INSTANTIATE_TEST_SUITE_P(Forms, BrokenAnswerTest,
                         testing::ValuesIn(allAnswers()),
                         [](const auto &it) { return it.param.Name; });

/// An answer that ends with its connection.
class UploadTest : public ::testing::Test {
protected:
  static constexpr std::size_t BodyBytes = 16UL * 1024 * 1024;

  std::uint16_t Port = support::nextPort();
};

// Guards against a part of an answer that counts as the whole: the server
// answers an upload at once and resets the connection.
TEST_F(UploadTest, cutAnswerIsNoAnswer) {
  const FixedReplyServer server(Port, "HTTP/1.1 200 OK\r\n\r\npart");
  Client client(support::baseUrl(Port), ReplyTimeout);
  auto recorder = std::make_shared<Recorder>();
  client.send({"POST", "/", {}, std::string(BodyBytes, 'x')}, record(recorder));
  const auto seen = recorder->Ended.get().value_or(Recorded{});
  EXPECT_EQ(seen.Error, core::Errc::RunnerFailed);
  EXPECT_EQ(seen.Stage, SendStage::MayBeSent);
}

} // namespace
