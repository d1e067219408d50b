#pragma once

#include "cowslipridge/http/Client.hpp"
#include "cowslipridge/http/Server.hpp"

#include "support/Loopback.hpp"
#include "support/Waiting.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cowslipridge::http {

constexpr core::Millis ReplyTimeout{10'000};

/// The events received in one exchange.
struct Recorded {
  int Status = 0;
  Headers Fields;
  std::vector<std::string> Chunks;
  std::error_code Error;
  SendStage Stage = SendStage::NotConnected;

  [[nodiscard]] std::string body() const {
    std::string all;
    for (const std::string &it : Chunks)
      all += it;
    return all;
  }
};

/// Records the events of one exchange. Ended is set last.
struct Recorder {
  Recorded Seen;
  support::EventualValue<int> HeadSeen;
  support::EventualValue<Recorded> Ended;
};

inline ResponseEvents record(const std::shared_ptr<Recorder> &recorder) {
  ResponseEvents events;
  events.OnHead = [recorder](int status, const Headers &fields) {
    recorder->Seen.Status = status;
    recorder->Seen.Fields = fields;
    recorder->HeadSeen.set(status);
  };
  events.OnChunk = [recorder](std::string chunk) {
    recorder->Seen.Chunks.push_back(std::move(chunk));
  };
  events.OnEnd = [recorder](std::error_code ec, SendStage stage) {
    recorder->Seen.Error = ec;
    recorder->Seen.Stage = stage;
    recorder->Ended.set(recorder->Seen);
  };
  return events;
}

/// Serves one handler on an address that no other test uses.
class ServerFixture : public ::testing::Test {
protected:
  void serve(Handler handler,
             std::size_t maxBodyBytes = std::size_t{64} * 1024) {
    ServerSettings settings;
    settings.Address = support::loopbackAddress();
    settings.Port = Port;
    settings.MaxBodyBytes = maxBodyBytes;
    Listener = std::make_unique<Server>(settings, std::move(handler));
    ASSERT_FALSE(Listener->open());
  }

  [[nodiscard]] std::string base() const { return support::baseUrl(Port); }

  std::uint16_t Port = support::nextPort();
  std::unique_ptr<Server> Listener;
};

} // namespace cowslipridge::http
