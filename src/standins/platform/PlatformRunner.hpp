#pragma once

#include "cowslipridge/http1/LoopTimer.hpp"
#include "cowslipridge/http1/Server.hpp"
#include "standins/platform/ColdPhase.hpp"
#include "standins/platform/Deviation.hpp"
#include "standins/platform/RefusalCopies.hpp"

#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cowslipridge::standins::platform {

/// Properties of a runner and the faults that it simulates.
struct RunnerTraits {
  std::string Id;
  std::string Service;
  std::string Domain = "zone-1";
  std::string Version = "v1";
  std::size_t Slots = 8;
  std::size_t MaxQueueLength = 0; ///< max. requests that wait for a slot
  core::Millis ServiceTime;       ///< of a plain request
  std::uint64_t Events = 5;       ///< of each stream
  core::Millis EventInterval{20};
  double PrefillMillisPerToken = 0.01;
  std::uint64_t CacheTokens = 500'000;
  std::optional<int> Confidence;  ///< reported with each response
  bool AlwaysFails = false;       ///< responds with status 500
  bool Unresponsive = false;      ///< accepts requests and never responds
  bool DuplicatesReplies = false; ///< sends each plain response twice
  /// Sends the copy of a refusal ahead of the next response of the connection.
  bool CopiesRefusals = false;
  bool Leaving = false; ///< announces its shutdown in every response
  /// Sent with each rejection for lack of capacity.
  std::optional<core::Millis> RejectionBackoff;
  /// Requests a second that it takes, named in every response.
  std::optional<double> RateLimit;
  /// Aborts the connection after this number of events.
  std::optional<std::uint64_t> AbortsAfterEvents;
  /// Crashes after the first event of a stream whose prompt has the segment
  /// with this id: aborts all its connections.
  std::optional<std::string> CrashingSegment;
  /// Crashes instead of answering a plain request for this target: aborts all
  /// its connections.
  std::optional<std::string> CrashingTarget;
  /// The phase after its start in which it crashes under too many requests:
  /// aborts all its connections and stops.
  ColdTraits Cold;
  /// Applied to each DeviatesEvery-th request.
  std::optional<Deviation> Deviates;
  unsigned DeviatesEvery = 1;
};

/// What happens to a request at its runner.
enum class RequestStep {
  Arrived, ///< whatever becomes of it
  Run,     ///< the runner began to work on it
  Ended,   ///< the runner works on it no longer, whatever the outcome
};
struct RequestStepReport {
  RequestStep Step = RequestStep::Arrived;
  std::string Id;
  /// The time that the runner was told to have, when the request arrived.
  std::optional<core::Millis> Remaining = {};
};
using RequestStepListener = std::function<void(const RequestStepReport &)>;

/// One request at a runner.
struct RunnerCall {
  std::shared_ptr<http1::Exchange> Exchange;
  std::string Id;
  int Priority = 5;                       ///< 0 is the most urgent
  std::optional<core::Millis> DeadlineAt; ///< of the caller
  std::shared_ptr<bool> Disconnected = std::make_shared<bool>(false);
};

/// Base of all runners of the platform: writes the store entry, reports the
/// load, rejects requests for another runner, and queues requests for a slot.
class PlatformRunner {
public:
  PlatformRunner(boost::asio::io_context &loop, const core::Clock &clock,
                 RunnerTraits traits);
  virtual ~PlatformRunner() = default;
  PlatformRunner(const PlatformRunner &) = delete;
  PlatformRunner &operator=(const PlatformRunner &) = delete;

  void listen(const http1::Endpoint &address);
  /// Returns the next entry of this runner in the metadata store.
  [[nodiscard]] std::string entry(const std::string &state);
  RunnerTraits &traits() { return Traits; }
  void setStepListener(RequestStepListener listener) {
    OnStep = std::move(listener);
  }
  [[nodiscard]] const RunnerTraits &traits() const { return Traits; }
  /// Returns how often each request ran here, by its id.
  [[nodiscard]] const std::map<std::string, int> &runs() const {
    return RunCounts;
  }
  /// Returns whether it has crashed because of too many requests while cold.
  [[nodiscard]] bool hasStopped() const { return Overloaded; }
  [[nodiscard]] const ColdPhase &cold() const { return Cold; }
  [[nodiscard]] std::size_t queued() const { return Queue.size(); }
  [[nodiscard]] virtual std::size_t active() const = 0;
  /// Returns the head of the last request.
  [[nodiscard]] const http1::RequestHead &lastHead() const { return LastHead; }

protected:
  /// Starts to process a call, for which a slot is free.
  virtual void startRequest(RunnerCall call) = 0;
  /// Continues the active calls; called on every tick.
  virtual void process(core::Millis now) = 0;
  /// Aborts the connections of all active calls.
  virtual void crash() = 0;
  /// Returns the number of cached tokens that can't be evicted.
  [[nodiscard]] virtual std::uint64_t cacheTokensUsed() const { return 0; }

  /// Reports that the runner works on the call no longer.
  void recordEnd(const RunnerCall &call) const;
  [[nodiscard]] http1::ResponseHead head(int status,
                                         const std::string &id) const;
  [[nodiscard]] core::Millis now() const { return Clock.monotonic(); }

private:
  void onRequest(const std::shared_ptr<http1::Exchange> &received);
  void report(http1::Exchange &exchange) const;
  void admit(RunnerCall call);
  /// Crashes and accepts nothing any more.
  void stop();
  void reject(http1::Exchange &exchange) const;
  /// Returns how the runner deviates with its next request, if it does.
  std::optional<Deviation> nextDeviation();
  void deviate(const RunnerCall &call, Deviation deviation);
  /// Counts the call as run.
  void recordRun(const RunnerCall &call);
  void reportStep(const RequestStepReport &report) const;
  void announce(http1::ResponseHead &head) const;
  void admitWaiting(core::Millis now);
  void scheduleTick();
  void tick();

  const core::Clock &Clock;
  const core::Millis StartedAt; ///< Unix time
  RunnerTraits Traits;
  ColdPhase Cold;
  bool Overloaded = false; ///< more requests than it survives while cold
  unsigned Entries = 0;    ///< number of entries written
  http1::Endpoint Address;
  std::list<RunnerCall> Queue; ///< by priority, then by arrival
  std::map<std::string, int> RunCounts;
  RequestStepListener OnStep;
  unsigned Admitted = 0; ///< requests that a slot was free for
  unsigned Deviated = 0; ///< of these
  http1::RequestHead LastHead;
  RefusalCopies Copies;
  http1::Server Server;
  http1::LoopTimer Ticker;
};

/// Returns the value of a header field; empty if there is none.
std::string fieldOf(const http1::RequestHead &head, std::string_view name);

} // namespace cowslipridge::standins::platform
