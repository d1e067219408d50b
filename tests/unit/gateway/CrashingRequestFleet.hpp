#pragma once

#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/gateway/Dispatcher.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace cowslipridge::support {

/// The load of one run of a CrashingPromptFleet.
struct CrashingPromptLoad {
  std::uint64_t Seed = 1;
  double RequestsPerSecond = 25;
  double CrashingShare = 0.05; ///< of the requests
  /// Position of the segment that crashes runners in the prompt.
  std::size_t Position = 1;
  core::Millis Duration{25'000};
  /// Every gateway loses its state at this time.
  std::optional<core::Millis> RestartAt;
};

/// What the runners and callers of a fleet saw.
struct CrashingPromptResult {
  int Crashes = 0;
  /// Requests with the crashing segment that reached runners later than the
  /// time for the fleet to react after the fifth crash.
  int LateArrivals = 0;
  /// Sound requests with the same first segment, once the fleet had twice the
  /// time to react to the fifth crash, or to the last one if there are fewer.
  int Related = 0;
  int RelatedPlaced = 0;
};

/// Gateways, runners and callers without network. A few requests have a prompt
/// segment that crashes each runner a short time after it began an answer to
/// them; all answers in progress there break.
class CrashingPromptFleet {
public:
  static constexpr std::size_t GatewayCount = 4;
  static constexpr std::size_t RunnerCount = 12;
  /// Time that the fleet has to react to the fifth crash.
  static constexpr core::Millis ReactionTime{3'000};

  explicit CrashingPromptFleet(const CrashingPromptLoad &load);

  CrashingPromptResult run();

private:
  struct Attempt {
    std::size_t Gateway = 0;
    gateway::RequestContext Request;
    gateway::Placement Placed;
    std::vector<core::RunnerId> Tried;
    core::Millis BeginsAt;
    core::Millis EndsAt;
    bool Begun = false;
  };

  [[nodiscard]] std::unique_ptr<gateway::Dispatcher>
  makeGateway(std::size_t number) const;
  void registerRunner(gateway::Dispatcher &gateway,
                      const core::RunnerId &runner) const;
  [[nodiscard]] gateway::RequestContext makeRequest(bool crashing,
                                                    bool related);
  [[nodiscard]] bool crashes(const gateway::RequestContext &request) const;
  void arrive();
  void place(std::size_t gateway, const gateway::RequestContext &request,
             const std::vector<core::RunnerId> &tried,
             gateway::AttemptKind kind);
  void step();
  void crash(const core::RunnerId &runner);
  void restoreRunners();
  void restartGateways();
  void exchangeReports();
  /// Returns whether the fleet had time to react to the fifth crash.
  [[nodiscard]] bool isLate() const;
  [[nodiscard]] bool hasSettled() const;

  const CrashingPromptLoad Load;
  core::Random Random;
  catalogue::CataloguePtr Declared;
  std::vector<std::unique_ptr<gateway::Dispatcher>> Gateways;
  std::set<core::RunnerId> Runners;
  std::map<core::RunnerId, core::Millis> Returning; ///< crashed, by id
  std::vector<Attempt> Attempts;
  core::Millis Now{100'000};
  core::Millis StartedAt{100'000};
  std::optional<core::Millis> LastOfFiveAt; ///< of the first five crashes
  std::uint64_t Ids = 0;
  std::uint64_t Incarnations = 0;
  CrashingPromptResult Result;
};

} // namespace cowslipridge::support
