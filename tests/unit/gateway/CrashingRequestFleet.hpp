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

/// What the requests that crash runners have in common.
enum class CrashCause {
  PromptSegment, ///< a segment of the prompt; the requests differ otherwise
  Content,       ///< they are the same plain request, repeated under other ids
};

/// The load of one run of a CrashingRequestFleet.
struct CrashLoad {
  std::uint64_t Seed = 1;
  CrashCause Cause = CrashCause::PromptSegment;
  std::size_t Gateways = 4;
  std::size_t Runners = 12;
  double RequestsPerSecond = 25;
  double CrashingShare = 0.05; ///< of the requests
  /// Position of the segment that crashes runners in the prompt.
  std::size_t Position = 1;
  core::Millis Duration{25'000};
  /// A runner, which requests have no part in, crashes at this interval.
  std::optional<core::Millis> CrashInterval;
  /// Number of different contents of sound plain requests; without limit if 0.
  std::uint64_t SoundContents = 0;
  /// Every gateway loses its state at this time.
  std::optional<core::Millis> RestartAt;
};

/// What the runners and callers of a fleet saw.
struct CrashResult {
  int Crashes = 0;
  /// Requests with the cause that reached runners later than the time for the
  /// fleet to react after the crash that should have been one of the last.
  int LateArrivals = 0;
  /// Sound requests with the same first segment (of plain requests: all sound
  /// ones), once the fleet had twice the time to react to that crash, or to the
  /// last one if there are fewer.
  int Related = 0;
  int RelatedPlaced = 0;
  int Quarantined = 0; ///< decisions of gateways to quarantine a trait
};

/// Gateways, runners and callers without network. A few requests crash each
/// runner that runs them: because of a prompt segment, a short time after it
/// began an answer, or because of their whole content, before it answers. All
/// answers in progress there break.
class CrashingRequestFleet {
public:
  /// Time that the fleet has to react to a crash.
  static constexpr core::Millis ReactionTime{3'000};

  explicit CrashingRequestFleet(const CrashLoad &load);

  CrashResult run();

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
  makeGateway(std::size_t number);
  void registerRunner(gateway::Dispatcher &gateway,
                      const core::RunnerId &runner) const;
  [[nodiscard]] gateway::RequestContext makeRequest(bool crashing,
                                                    bool related);
  [[nodiscard]] gateway::RequestContext makePlainRequest(bool crashing);
  [[nodiscard]] bool isPlain() const {
    return Load.Cause == CrashCause::Content;
  }
  [[nodiscard]] bool crashes(const gateway::RequestContext &request) const;
  /// Returns the number of crashes to which the fleet has to react.
  [[nodiscard]] int crashesToReact() const;
  void arrive();
  void place(std::size_t gateway, const gateway::RequestContext &request,
             const std::vector<core::RunnerId> &tried,
             gateway::AttemptKind kind);
  void step();
  void crash(const core::RunnerId &runner);
  void crashRunnersByChance();
  void restoreRunners();
  void restartGateways();
  void exchangeReports();
  /// Returns whether the fleet had time to react to the crashes.
  [[nodiscard]] bool isLate() const;
  [[nodiscard]] bool hasSettled() const;

  const CrashLoad Load;
  core::Random Random;
  catalogue::CataloguePtr Declared;
  std::vector<std::unique_ptr<gateway::Dispatcher>> Gateways;
  std::set<core::RunnerId> Runners;
  std::map<core::RunnerId, core::Millis> Returning; ///< crashed, by id
  std::vector<Attempt> Attempts;
  core::Millis Now{100'000};
  core::Millis StartedAt{100'000};
  /// The last crash of those to which the fleet has to react.
  std::optional<core::Millis> LastCrashAt;
  std::uint64_t Ids = 0;
  std::uint64_t Incarnations = 0;
  CrashResult Result;
};

} // namespace cowslipridge::support
