#pragma once

#include "cowslipridge/http1/Server.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace cowslipridge::standins::platform {

/// What a runner is like, and how it misbehaves.
struct RunnerTraits {
  std::string Id;
  std::string Service;
  std::string Domain = "zone-1";
  std::string Version = "v1";
  std::size_t Slots = 8;
  std::uint64_t Events = 5; ///< of each stream
  core::Millis EventGap{20};
  double PrefillMillisPerToken = 0.01;
  std::optional<int> Confidence; ///< said of each answer
  bool FailsAll = false;         ///< answers 500
  bool Silent = false;           ///< takes requests and never answers
  bool AnswersTwice = false;     ///< repeats each plain answer after it
  /// Resets the connection after so many events.
  std::optional<std::uint64_t> BreaksAfter;
};

/// A runner that streams events or, for requests without a prompt, answers
/// plainly. Keeps the parts of prompts that it has read.
class StreamingRunner {
public:
  StreamingRunner(boost::asio::io_context &loop, const core::Clock &clock,
                  RunnerTraits traits);

  void listen(const http1::Endpoint &address);
  /// Its entry in the metadata store.
  [[nodiscard]] std::string entry(const std::string &state) const;
  RunnerTraits &traits() { return Traits; }
  /// How often each request ran here, by its id.
  [[nodiscard]] const std::map<std::string, int> &runs() const { return Runs; }
  [[nodiscard]] std::size_t active() const { return Active.size(); }
  /// The head of the last request.
  [[nodiscard]] const http1::RequestHead &lastHead() const { return LastHead; }
  [[nodiscard]] std::uint64_t promptTokensRead() const { return TokensRead; }

private:
  struct Run {
    std::shared_ptr<http1::Exchange> Exchange;
    std::string Id;
    std::uint64_t NextEvent = 1;
    std::uint64_t Sent = 0;
    bool Begun = false;
    bool Left = false;
    core::Millis DueAt;
  };

  void onRequest(const std::shared_ptr<http1::Exchange> &exchange);
  bool refuses(http1::Exchange &exchange);
  core::Millis read(const std::string &prompt);
  void step(Run &run);
  void answerPlainly(http1::Exchange &exchange, const std::string &id);
  void tickLater();
  void tick();
  [[nodiscard]] http1::ResponseHead head(int status,
                                         const std::string &id) const;

  const core::Clock &Clock;
  RunnerTraits Traits;
  http1::Endpoint Address;
  std::list<Run> Active;
  std::map<std::string, int> Runs;
  std::set<std::string> KeptParts;
  std::uint64_t TokensRead = 0;
  http1::RequestHead LastHead;
  http1::Server Server;
  boost::asio::steady_timer Ticker;
};

} // namespace cowslipridge::standins::platform
