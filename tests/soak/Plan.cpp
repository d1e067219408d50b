#include "soak/Plan.hpp"

#include "cowslipridge/core/Visit.hpp"

#include <array>
#include <random>
#include <string_view>

namespace cowslipridge::soak {

namespace {

using standins::platform::Deviation;

constexpr std::int64_t MinFaultMs = 300;
constexpr std::int64_t MaxFaultMs = 4'500;
constexpr unsigned MaxDeviationEvery = 8;
constexpr std::int64_t MaxServiceFaultMs = 15'000;

constexpr std::array MoreDeviations = {Deviation::CopiedRefusal,
                                       Deviation::WrongId};
constexpr std::array BrokenAnswers = {
    Deviation::NoStatus,    Deviation::NameWithBlank,
    Deviation::HiddenField, Deviation::NameWithControl,
    Deviation::CodedBody,   Deviation::EncodedBody,
    Deviation::TwoIds};
constexpr std::array Deviations = {
    Deviation::StatedRefusal, Deviation::UnstatedRefusal,
    Deviation::Failure,       Deviation::LostAnswer,
    Deviation::CutBody,       Deviation::EndlessEvent,
    Deviation::EmptyLines,    Deviation::OldEvents,
    Deviation::EndlessBody};
constexpr std::array<std::string_view, 5> LinkFaultNames = {
    "blocked", "blocked-one-way", "slow", "reset", "refused"};
constexpr std::array<std::string_view, 7> StoreFaultNames = {
    "unavailable",     "unresponsive", "slow",    "lost-replies",
    "history-dropped", "watches-cut",  "restored"};

/// Draws numbers that are the same on every machine, other than those of the
/// distributions of the standard library.
class Draw {
public:
  explicit Draw(std::uint64_t seed) : Engine(seed) {}
  std::uint64_t below(std::uint64_t n) { return Engine() % n; }
  core::Millis length() {
    return core::Millis(MinFaultMs +
                        static_cast<std::int64_t>(
                            below(static_cast<std::uint64_t>(MaxFaultMs))));
  }

private:
  std::mt19937_64 Engine;
};

RunnerDeviation drawDeviation(Draw &draw, const PlanSettings &settings) {
  RunnerDeviation fault;
  fault.Runner = draw.below(settings.Runners);
  const bool drawsMore = settings.CrowdKinds != 0 && draw.below(2) == 0;
  fault.What = drawsMore ? MoreDeviations.at(draw.below(MoreDeviations.size()))
                         : Deviations.at(draw.below(Deviations.size()));
  if (settings.BrokenAnswers && draw.below(2) == 0)
    fault.What = BrokenAnswers.at(draw.below(BrokenAnswers.size()));
  fault.Every = 1 + static_cast<unsigned>(draw.below(MaxDeviationEvery));
  fault.For = draw.length();
  return fault;
}

Fault drawServiceFault(Draw &draw) {
  constexpr std::array Kinds = {Deviation::StatedRefusal,
                                Deviation::UnstatedRefusal, Deviation::Failure,
                                Deviation::LostAnswer};
  const bool streams = draw.below(2) == 0;
  const core::Millis length(
      MinFaultMs + static_cast<std::int64_t>(draw.below(
                       static_cast<std::uint64_t>(MaxServiceFaultMs))));
  if (draw.below(2) == 0)
    return ServicePause{streams, length};
  return ServiceDeviation{streams, Kinds.at(draw.below(Kinds.size())), length};
}

Fault drawFault(Draw &draw, const PlanSettings &settings) {
  constexpr std::uint64_t ServiceFaultOneIn = 6;
  if (settings.ServiceFaults && draw.below(ServiceFaultOneIn) == 0)
    return drawServiceFault(draw);
  constexpr std::uint64_t Kinds = 10;
  constexpr std::uint64_t MoreKinds = 3;
  switch (draw.below(settings.CrowdKinds != 0 ? Kinds + MoreKinds : Kinds)) {
  case Kinds:
    return RunnerReplacement{draw.below(settings.Runners), draw.length()};
  case Kinds + 1:
    return CallerCrowd{draw.below(settings.Gateways),
                       draw.below(settings.CrowdKinds), draw.length()};
  case 0:
    return GatewayKill{draw.below(settings.Gateways), draw.length()};
  case 1:
    return GatewayStop{draw.below(settings.Gateways), draw.length()};
  case 2:
    return GatewayPause{draw.below(settings.Gateways), draw.length()};
  case 3:
    return RunnerKill{draw.below(settings.Runners), draw.length()};
  case 4:
    return RunnerPause{draw.below(settings.Runners), draw.length()};
  case 5:
  case 6:
    return LinkFault{
        draw.below(settings.Links),
        static_cast<LinkFaultKind>(draw.below(LinkFaultNames.size())),
        draw.length()};
  case 7:
    return StoreFault{
        static_cast<StoreFaultKind>(draw.below(StoreFaultNames.size())),
        draw.length()};
  default:
    return drawDeviation(draw, settings);
  }
}

std::string nameOfService(bool streams) {
  return streams ? "the streams" : "the plain service";
}

std::string lasting(core::Millis length) {
  return " for " + std::to_string(length.count()) + " ms";
}

std::string numbered(const char *what, std::size_t n) {
  return std::string(what) + " " + std::to_string(n + 1);
}

} // namespace

std::vector<PlannedFault> makePlan(const PlanSettings &settings) {
  Draw draw(settings.Seed);
  std::vector<PlannedFault> plan;
  core::Millis at = settings.Warmup;
  while (at < settings.Duration) {
    plan.push_back({at, drawFault(draw, settings)});
    at = at + core::Millis(static_cast<std::int64_t>(draw.below(
                  static_cast<std::uint64_t>(settings.MeanGap.count() * 2))));
  }
  return plan;
}

core::Millis lengthOf(const Fault &fault) {
  return std::visit(
      core::Overloaded{
          [](const GatewayKill &it) { return it.Down; },
          [](const GatewayStop &it) { return GracePeriod + it.Down; },
          [](const RunnerKill &it) { return it.Down; },
          [](const RunnerReplacement &it) { return it.Down; },
          [](const auto &it) { return it.For; }},
      fault);
}

std::string describe(const Fault &fault) {
  return std::visit(
      core::Overloaded{
          [](const GatewayKill &it) {
            return numbered("kill gateway", it.Gateway) + ", down" +
                   lasting(it.Down);
          },
          [](const GatewayStop &it) {
            return numbered("stop gateway", it.Gateway) + ", then down" +
                   lasting(it.Down);
          },
          [](const GatewayPause &it) {
            return numbered("pause gateway", it.Gateway) + lasting(it.For);
          },
          [](const RunnerKill &it) {
            return numbered("kill runner", it.Runner) + ", down" +
                   lasting(it.Down);
          },
          [](const RunnerReplacement &it) {
            return numbered("replace runner", it.Runner) + ", down" +
                   lasting(it.Down);
          },
          [](const CallerCrowd &it) {
            return numbered("crowd of kind", it.Kind) + " at" +
                   numbered(" gateway", it.Gateway) + lasting(it.For);
          },
          [](const ServicePause &it) {
            return "pause all runners of " + nameOfService(it.Streams) +
                   lasting(it.For);
          },
          [](const ServiceDeviation &it) {
            return "all runners of " + nameOfService(it.Streams) + ": " +
                   std::string(toString(it.What)) + lasting(it.For);
          },
          [](const RunnerPause &it) {
            return numbered("pause runner", it.Runner) + lasting(it.For);
          },
          [](const RunnerDeviation &it) {
            return numbered("runner", it.Runner) + ": " +
                   std::string(toString(it.What)) + " of one in " +
                   std::to_string(it.Every) + lasting(it.For);
          },
          [](const LinkFault &it) {
            return numbered("link", it.Link) + " " +
                   std::string(
                       LinkFaultNames.at(static_cast<std::size_t>(it.Kind))) +
                   lasting(it.For);
          },
          [](const StoreFault &it) {
            return "store " +
                   std::string(
                       StoreFaultNames.at(static_cast<std::size_t>(it.Kind))) +
                   lasting(it.For);
          }},
      fault);
}

} // namespace cowslipridge::soak
