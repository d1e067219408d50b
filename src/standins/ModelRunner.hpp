#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/http/Client.hpp"
#include "standins/CompletionAnswer.hpp"
#include "standins/CompletionRequest.hpp"
#include "standins/LoadCommands.hpp"
#include "standins/PrefixCache.hpp"
#include "standins/RunLog.hpp"
#include "standins/Scheduler.hpp"
#include "standins/StandIn.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

namespace cowslipridge::standins {

struct ModelRunnerSettings {
  std::string Name; ///< subject of the grades it submits
  /// Initially loaded models, with their quality from 0 to 1.
  std::map<std::string, double> Models;
  double TokensPerSecond = 200; ///< generation rate of each answer
  /// Prefill time of 1,000 uncached prompt tokens.
  core::Millis PrefillPerThousandTokens{100};
  std::size_t Slots = 8; ///< answers generated concurrently
  std::size_t CacheBlocks = 4096;
  bool ChecksFencing = true;
  std::string RatingsAddress; ///< empty: submits no grades
  std::string WeightsAddress; ///< empty: loads need no weight store
  std::uint64_t Seed = 1;
};

/// A model engine: chat completions with continuous batching, priorities, a
/// prefix cache and load commands.
class ModelRunner final : public StandIn,
                          public std::enable_shared_from_this<ModelRunner> {
public:
  ModelRunner(ModelRunnerSettings settings, std::shared_ptr<Scheduler> timer);

  void serve(http::Request request,
             std::shared_ptr<http::Responder> responder) override;
  /// Serves GET /debug/runs, GET /debug/orders and PUT /debug/quality.
  std::optional<http::Response> debug(const http::Request &request) override;
  void setFaults(const Faults &faults) override;

private:
  struct Run {
    CompletionRequest Request;
    AnswerMetadata Metadata;
    AnswerUsage Usage;
    std::string Key;
    std::shared_ptr<http::Responder> Responder;
    std::size_t TokensSent = 0;
    double SlowFactor = 1;
    bool WrongId = false;
  };
  using RunPtr = std::shared_ptr<Run>;

  void complete(const http::Request &request,
                const std::shared_ptr<http::Responder> &responder);
  void beginLocked(const RunPtr &run);
  void advance(const RunPtr &run);
  void streamNextToken(Run &run);
  void scheduleAdvance(const RunPtr &run, core::Millis delay);
  void end(const RunPtr &run, RunState state);
  void submitGrade(const Run &run);
  [[nodiscard]] core::Millis generationTime(const Run &run,
                                            std::size_t tokens) const;
  /// Returns the run's metadata, with another request's id when the wrong_id
  /// fault is enabled.
  [[nodiscard]] static AnswerMetadata metadataOf(const Run &run);

  void load(const http::Request &request,
            const std::shared_ptr<http::Responder> &responder);
  void finishLoad(const std::string &model,
                  const std::shared_ptr<http::Responder> &responder,
                  const core::Result<http::Response> &weights);
  [[nodiscard]] http::Response metrics() const;
  http::Response setQuality(const std::string &body);

  ModelRunnerSettings Settings;
  std::shared_ptr<Scheduler> Timer;
  RunLog Runs;
  LoadCommands Commands;
  std::unique_ptr<http::Client> RatingsClient;
  std::unique_ptr<http::Client> WeightsClient;

  mutable std::mutex Guard;
  std::map<std::string, double> Models;
  PrefixCache Cache;
  core::Random Random;
  Faults Active;
  std::size_t Running = 0;
  std::uint64_t LastSequence = 0;
  /// Queued runs, ordered by priority, then by arrival.
  std::map<std::pair<int, std::uint64_t>, RunPtr> Waiting;
};

} // namespace cowslipridge::standins
