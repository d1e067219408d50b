#pragma once

#include "cowslipridge/http1/Server.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cowslipridge::standins::platform {

/// What a runner is like, and how it misbehaves.
struct RunnerTraits {
  std::string Id;
  std::string Service;
  std::string Domain = "zone-1";
  std::string Version = "v1";
  std::size_t Slots = 8;
  std::size_t QueueLength = 0; ///< requests that wait for a slot
  core::Millis WorkTime;       ///< of a plain answer
  std::uint64_t Events = 5;    ///< of each stream
  core::Millis EventGap{20};
  double PrefillMillisPerToken = 0.01;
  std::uint64_t MemoryTokens = 500'000;
  std::optional<int> Confidence; ///< said of each answer
  bool FailsAll = false;         ///< answers 500
  bool Silent = false;           ///< takes requests and never answers
  bool AnswersTwice = false;     ///< repeats each plain answer after it
  /// Resets the connection after so many events.
  std::optional<std::uint64_t> BreaksAfter;
};

/// One request at a runner.
struct RunnerCall {
  std::shared_ptr<http1::Exchange> Exchange;
  std::string Id;
  int Urgency = 5;                    ///< 0 is first
  std::optional<core::Millis> EndsAt; ///< then nobody waits for it any more
  std::shared_ptr<bool> Left = std::make_shared<bool>(false);
};

/// What all runners of the platform do alike: they register, report, refuse
/// what is meant for another, and let requests wait for a slot.
class PlatformRunner {
public:
  PlatformRunner(boost::asio::io_context &loop, const core::Clock &clock,
                 RunnerTraits traits);
  virtual ~PlatformRunner() = default;
  PlatformRunner(const PlatformRunner &) = delete;
  PlatformRunner &operator=(const PlatformRunner &) = delete;

  void listen(const http1::Endpoint &address);
  /// Its entry in the metadata store.
  [[nodiscard]] std::string entry(const std::string &state) const;
  RunnerTraits &traits() { return Traits; }
  /// How often each request ran here, by its id.
  [[nodiscard]] const std::map<std::string, int> &runs() const { return Runs; }
  [[nodiscard]] std::size_t queued() const { return Waiting.size(); }
  [[nodiscard]] virtual std::size_t active() const = 0;
  /// The head of the last request.
  [[nodiscard]] const http1::RequestHead &lastHead() const { return LastHead; }

protected:
  /// A slot is free for the call: begins to work on it.
  virtual void begin(RunnerCall call) = 0;
  /// Goes on with the calls under way.
  virtual void work(core::Millis now) = 0;
  /// Tokens in memory that can't be given up.
  [[nodiscard]] virtual std::uint64_t memoryUsed() const { return 0; }

  [[nodiscard]] http1::ResponseHead head(int status,
                                         const std::string &id) const;
  [[nodiscard]] core::Millis now() const { return Clock.monotonic(); }

private:
  void onRequest(const std::shared_ptr<http1::Exchange> &exchange);
  void report(http1::Exchange &exchange) const;
  void admit(RunnerCall call);
  void refuse(http1::Exchange &exchange) const;
  void admitWaiting(core::Millis now);
  void tickLater();
  void tick();

  const core::Clock &Clock;
  RunnerTraits Traits;
  http1::Endpoint Address;
  std::list<RunnerCall> Waiting; ///< most urgent first, then by arrival
  std::map<std::string, int> Runs;
  http1::RequestHead LastHead;
  http1::Server Server;
  boost::asio::steady_timer Ticker;
};

/// A field of a request, or nothing.
std::string fieldOf(const http1::RequestHead &head, std::string_view name);

} // namespace cowslipridge::standins::platform
