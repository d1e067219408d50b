#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/route/internal/LeastSquares.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace cowslipridge::route {

/// Work that was sent to one runner and is not completed yet.
struct ServerLoad {
  double PendingMillis = 0; ///< prefill of prompts without a first token
  unsigned Waiting = 0;     ///< requests without a first token
  unsigned Running = 0;     ///< requests whose answers are being generated
  [[nodiscard]] unsigned requests() const { return Waiting + Running; }
  ServerLoad &operator+=(const ServerLoad &other);
  friend auto operator<=>(const ServerLoad &, const ServerLoad &) = default;
};

/// Predicts the time to first token at a runner from the pending prefill work
/// there. It learns the prefill speed of models and the slowness of runners
/// from each answer. A prediction from pending work reacts before any answer is
/// late; one from observed latencies alone reacts only afterwards.
class PrefillForecast {
public:
  /// Sets the initial prefill time of a model that is not known yet.
  /// `relativeCost` is 1 for the most expensive model of its service.
  void registerModel(const std::string &model, double relativeCost);

  /// Returns the time to prefill `tokens` on a runner of slowness 1.
  [[nodiscard]] double prefillMillis(const std::string &model,
                                     std::uint64_t tokens) const;
  /// Returns the predicted time to first token of an attempt that is sent now.
  [[nodiscard]] core::Millis
  timeToFirstToken(const core::RunnerId &runner, const std::string &model,
                   std::uint64_t uncachedTokens) const;

  /// Returns the same for a runner without other requests.
  [[nodiscard]] core::Millis
  idleTimeToFirstToken(const core::RunnerId &runner, const std::string &model,
                       std::uint64_t uncachedTokens) const;

  /// Adds an attempt to the runner's pending work.
  void onAttemptSent(std::uint64_t ticket, const core::RunnerId &runner,
                     const std::string &model, std::uint64_t uncachedTokens,
                     core::Millis now);
  /// Records the attempt's first token and updates the estimates.
  void onFirstToken(std::uint64_t ticket, core::Millis now);
  /// Records further events of the attempt's stream.
  void onStreamEvents(std::uint64_t ticket, unsigned events, core::Millis now);
  /// Removes the attempt from the runner's work.
  void onAttemptEnded(std::uint64_t ticket);
  /// Replaces the loads that another gateway reports for its own attempts.
  void setRemoteLoads(const core::InstanceId &gateway,
                      const std::map<core::RunnerId, ServerLoad> &loads,
                      core::Millis now);
  /// Erases the loads of a gateway that was removed.
  void removeRemoteLoads(const core::InstanceId &gateway);
  /// Erases the estimates of a runner that was removed.
  void removeRunner(const core::RunnerId &runner);

  /// Returns the loads of this gateway's own attempts, to be reported to peers.
  [[nodiscard]] const std::map<core::RunnerId, ServerLoad> &ownLoads() const {
    return Own;
  }
  /// Returns the age of the oldest remote loads in use.
  [[nodiscard]] core::Millis maxRemoteLoadAge(core::Millis now) const;
  /// Returns the runner's load, summed over all gateways.
  [[nodiscard]] ServerLoad load(const core::RunnerId &runner) const;
  /// Returns the expected interval between two stream events at a runner, from
  /// its recent streams.
  [[nodiscard]] double eventIntervalMillis(const core::RunnerId &runner,
                                           core::Millis now) const;
  /// Returns how many times slower a runner is than the others of its service.
  [[nodiscard]] double slowness(const core::RunnerId &runner) const;

private:
  /// Prefill time per token of the service's most expensive model, used until
  /// attempts have been observed.
  static constexpr double InitialMillisPerToken = 0.05;

  struct Attempt {
    core::RunnerId Runner;
    std::string Model;
    std::uint64_t Tokens = 0;
    double WorkMillis = 0;
    double PredictedMillis = 0;
    ServerLoad Ahead; ///< at the runner when the attempt was sent
    core::Millis SentAt;
    bool HasFirstToken = false;
    core::Millis LastEventAt;
  };
  struct EventInterval {
    double MeanMillis = 0;
    core::Millis UpdatedAt;
  };

  struct RemoteLoads {
    std::map<core::RunnerId, ServerLoad> Loads;
    core::Millis ReportReceivedAt;
  };

  /// Fit of the time to first token of one model: fixed delay, per thousand
  /// uncached tokens, per second of work ahead, and per answer in progress.
  using ModelFit = internal::LeastSquares<4>;

  void addRemote(const std::map<core::RunnerId, ServerLoad> &loads);
  void subtractRemote(const std::map<core::RunnerId, ServerLoad> &loads);
  static ModelFit makeFit(double millisPerToken);
  static ModelFit::Vector featuresOf(std::uint64_t uncachedTokens,
                                     const ServerLoad &ahead);
  [[nodiscard]] const ModelFit &fitOf(const std::string &model) const;
  [[nodiscard]] core::Millis forecast(const core::RunnerId &runner,
                                      const std::string &model,
                                      std::uint64_t uncachedTokens,
                                      const ServerLoad &ahead) const;
  void updateEstimates(const Attempt &attempt, double elapsed);

  std::unordered_map<std::string, ModelFit> Fits;
  ModelFit UnknownModel = makeFit(InitialMillisPerToken);
  std::unordered_map<core::RunnerId, double> Slowness;
  std::unordered_map<core::RunnerId, EventInterval> EventIntervals;
  std::unordered_map<std::uint64_t, Attempt> Attempts;
  std::map<core::RunnerId, ServerLoad> Own;
  std::map<core::InstanceId, RemoteLoads> Remote;
  std::unordered_map<core::RunnerId, ServerLoad> RemoteTotals;
};

} // namespace cowslipridge::route
