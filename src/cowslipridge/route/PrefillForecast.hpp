#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace cowslipridge::route {

/// Work that was sent to one runner and is not answered yet.
struct ServerLoad {
  double PendingMillis = 0; ///< reading of prompts that have no first token yet
  unsigned Waiting = 0;     ///< requests without a first token
  unsigned Running = 0;     ///< requests whose answers are being generated
  friend auto operator<=>(const ServerLoad &, const ServerLoad &) = default;
};

/// Forecasts the time to the first token at a runner from the prompts that wait
/// there, and learns from each answer how fast models read and how slow runners
/// are. A forecast from work that is on its way reacts before any answer is
/// late, which observed times alone do not.
class PrefillForecast {
public:
  /// A first guess of a model's reading time; `relativeCost` is 1 for the most
  /// expensive model of its service.
  void registerModel(const std::string &model, double relativeCost);

  /// Time to read that many tokens on a runner of ordinary speed.
  [[nodiscard]] double prefillMillis(const std::string &model,
                                     std::uint64_t tokens) const;
  [[nodiscard]] core::Millis
  timeToFirstToken(const core::RunnerId &runner, const std::string &model,
                   std::uint64_t uncachedTokens) const;

  void onAttemptSent(std::uint64_t ticket, const core::RunnerId &runner,
                     const std::string &model, std::uint64_t uncachedTokens,
                     core::Millis now);
  /// The first token came.
  void onFirstToken(std::uint64_t ticket, core::Millis now);
  /// Further events of a stream came.
  void onStreamEvents(std::uint64_t ticket, unsigned events, core::Millis now);
  void onAttemptEnded(std::uint64_t ticket);
  /// What another gateway has sent to a runner.
  void setRemoteLoads(const core::InstanceId &gateway,
                      const std::map<core::RunnerId, ServerLoad> &loads,
                      core::Millis now);
  void removeRemoteLoads(const core::InstanceId &gateway);
  void removeRunner(const core::RunnerId &runner);

  /// This gateway's own, for its peers.
  [[nodiscard]] const std::map<core::RunnerId, ServerLoad> &ownLoads() const {
    return Own;
  }
  /// Age of the oldest that other gateways said and that still counts.
  [[nodiscard]] core::Millis maxRemoteLoadAge(core::Millis now) const;
  /// Of all gateways.
  [[nodiscard]] ServerLoad load(const core::RunnerId &runner) const;
  /// Time between two events of a stream at a runner, from its streams of late.
  [[nodiscard]] double eventIntervalMillis(const core::RunnerId &runner,
                                           core::Millis now) const;
  /// How many times slower than others of its service a runner is.
  [[nodiscard]] double slowness(const core::RunnerId &runner) const;

private:
  struct Attempt {
    core::RunnerId Runner;
    std::string Model;
    std::uint64_t Tokens = 0;
    double WorkMillis = 0;
    double PredictedMillis = 0;
    double PendingMillisAhead = 0;
    core::Millis SentAt;
    bool HasFirstToken = false;
    core::Millis LastEventAt; ///< of the last event
  };
  struct EventInterval {
    double MeanMillis = 0;
    core::Millis UpdatedAt;
  };

  struct RemoteLoads {
    std::map<core::RunnerId, ServerLoad> Loads;
    core::Millis ReportReceivedAt;
  };

  void updateEstimates(const Attempt &attempt, double elapsed);

  std::unordered_map<std::string, double> MillisPerToken;
  std::unordered_map<core::RunnerId, double> Slowness;
  std::unordered_map<core::RunnerId, EventInterval> EventIntervals;
  std::unordered_map<std::uint64_t, Attempt> Attempts;
  std::map<core::RunnerId, ServerLoad> Own;
  std::map<core::InstanceId, RemoteLoads> Remote;
  double BaseMillis = 20;
};

} // namespace cowslipridge::route
