#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "standins/platform/Deviation.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Runs real gateways, stand-ins and a proxy as processes under faults that are
/// drawn from a seed, and checks what callers and runners see.
namespace cowslipridge::soak {

struct GatewayKill {
  std::size_t Gateway = 0;
  core::Millis Down; ///< until it is started again
};
struct GatewayStop {
  std::size_t Gateway = 0;
  core::Millis Down; ///< from its end until it is started again
};
struct GatewayPause {
  std::size_t Gateway = 0;
  core::Millis For;
};
struct RunnerKill {
  std::size_t Runner = 0;
  core::Millis Down;
};
struct RunnerPause {
  std::size_t Runner = 0;
  core::Millis For;
};
/// A runner ends, and another one takes over its address.
struct RunnerReplacement {
  std::size_t Runner = 0;
  core::Millis Down;
};
struct RunnerDeviation {
  std::size_t Runner = 0;
  standins::platform::Deviation What =
      standins::platform::Deviation::StatedRefusal;
  unsigned Every = 1; ///< of its requests
  core::Millis For;
};
enum class LinkFaultKind { Blocked, BlockedOneWay, Slow, Reset, Refused };
struct LinkFault {
  std::size_t Link = 0;
  LinkFaultKind Kind = LinkFaultKind::Reset;
  core::Millis For;
};
enum class StoreFaultKind {
  Unavailable,
  Unresponsive,
  Slow,
  LostReplies,
  HistoryDropped,
  WatchesCut,
  Restored, ///< from an older copy
};
struct StoreFault {
  StoreFaultKind Kind = StoreFaultKind::Unavailable;
  core::Millis For;
};

/// Clients that do not keep to the limits press a gateway.
struct CallerCrowd {
  std::size_t Gateway = 0;
  std::size_t Kind = 0; ///< index into integration::crowdKinds()
  core::Millis For;
};

/// All runners of the service with streams, or of the other one, deviate.
struct ServiceDeviation {
  bool Streams = false;
  standins::platform::Deviation What =
      standins::platform::Deviation::StatedRefusal;
  core::Millis For;
};
/// All runners of a service stand still.
struct ServicePause {
  bool Streams = false;
  core::Millis For;
};

using Fault =
    std::variant<GatewayKill, GatewayStop, GatewayPause, RunnerKill,
                 RunnerPause, RunnerReplacement, RunnerDeviation, LinkFault,
                 StoreFault, CallerCrowd, ServiceDeviation, ServicePause>;

/// A fault and the time since the start of the run at which it begins.
struct PlannedFault {
  core::Millis At;
  Fault What;
};

struct PlanSettings {
  std::uint64_t Seed = 1;
  core::Millis Duration{20'000}; ///< in which faults begin
  core::Millis Warmup{2'000};    ///< without faults, at the start
  core::Millis MeanGap{700};     ///< between the starts of two faults
  std::size_t Gateways = 0;
  std::size_t Runners = 0;
  std::size_t Links = 0;
  /// Number of kinds of crowds; 0: the plan has neither crowds, nor copied
  /// refusals, nor runners that take over an address.
  std::size_t CrowdKinds = 0;
  /// Runners also send answers that are none.
  bool BrokenAnswers = false;
  /// Faults of whole services, which last longer than the others, are part of
  /// the plan.
  bool ServiceFaults = false;
};

/// Returns the faults in the order of their times. The same settings give the
/// same plan on every machine.
std::vector<PlannedFault> makePlan(const PlanSettings &settings);

/// How long a gateway that is stopped may take to end.
inline constexpr core::Millis GracePeriod{5'000};

/// Returns the time from the beginning of the fault until it has ended and its
/// process runs again.
core::Millis lengthOf(const Fault &fault);

/// Returns the fault as a line of the time line.
std::string describe(const Fault &fault);

} // namespace cowslipridge::soak
