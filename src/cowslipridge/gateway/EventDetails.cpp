#include "cowslipridge/gateway/EventDetails.hpp"

#include "cowslipridge/catalogue/CatalogueIndex.hpp"
#include "cowslipridge/core/Visit.hpp"
#include "cowslipridge/gateway/RequestTraits.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace cowslipridge::gateway {

namespace {

/// Bounds the length of a log line.
constexpr std::size_t MaxLoggedSegments = 8;

std::string_view toText(rollout::RolloutPhase verdict) {
  switch (verdict) {
  case rollout::RolloutPhase::Completed:
    return "completed";
  case rollout::RolloutPhase::Reverted:
    return "reverted";
  case rollout::RolloutPhase::InProgress:
    break;
  }
  return "in progress";
}

std::string targetOf(const core::ServiceId &service,
                     const core::VersionId &target) {
  return "service=" + service.str() + " target=" + target.str();
}

} // namespace

std::string describe(const membership::BackendServer &server) {
  return "runner=" + server.Id.str() + " service=" + server.Service.str() +
         " address=" + server.Host + ":" + std::to_string(server.Port) +
         " version=" + server.Version.str();
}

std::string describe(const catalogue::Catalogue &declared,
                     const catalogue::Catalogue *before) {
  const std::size_t organisations =
      declared.Organisations ? declared.Organisations->size() : 0;
  const catalogue::KeyChanges keys = catalogue::compareKeys(
      before != nullptr ? *before : catalogue::Catalogue(), declared);
  return "routes=" + std::to_string(declared.Routes.size()) +
         " services=" + std::to_string(declared.Services.size()) +
         " organisations=" + std::to_string(organisations) +
         " keys=" + std::to_string(keys.Total) +
         " keys_added=" + std::to_string(keys.Added) +
         " keys_removed=" + std::to_string(keys.Removed);
}

std::string describe(const limits::EjectionChange &change,
                     AttemptOutcome outcome) {
  std::string text =
      "runner=" + change.Runner.str() +
      " outcome=" + std::string(toString(outcome)) +
      " ejections=" + std::to_string(change.ConsecutiveEjections);
  if (change.isEjected())
    text += " for_ms=" + std::to_string(change.Duration.count());
  return text;
}

std::string describe(const RunnerNotice &notice) {
  return std::visit(
      core::Overloaded{
          [](const LeavingAnnounced &it) {
            return "runner=" + it.Runner.str();
          },
          [](const limits::BackoffRequest &it) {
            return "runner=" + it.Runner.str() +
                   " for_ms=" + std::to_string(it.Duration.count());
          },
          [](const limits::RateLimitStatement &it) {
            return "runner=" + it.Runner.str() + " per_second=" +
                   (it.PerSecond ? std::to_string(*it.PerSecond) : "unlimited");
          },
          [](const RunnerSuspected &it) { return "runner=" + it.Runner.str(); },
          [](const RunnerCold &it) {
            return "runner=" + it.Runner.str() +
                   " for_ms=" + std::to_string(it.Remaining.count()) +
                   " per_second=" + std::to_string(it.PerSecond);
          }},
      notice);
}

std::string describe(const QuarantineStart &start) {
  const limits::RequestTrait &trait = start.Quarantined.Trait;
  const bool isContent = trait.Kind == limits::TraitKind::Content;
  const std::string text =
      "service=" + trait.Service.str() +
      (isContent ? " content=" : " segment=") + formatHex(trait.Id) +
      " for_ms=" + std::to_string(start.Quarantined.Remaining.count());
  if (!start.isOwnDecision())
    return text + " as others report";
  return text + " crashes=" + std::to_string(start.Crashes) +
         " requests=" + std::to_string(start.Requests);
}

std::string describe(const LowConfidenceAnswer &answer) {
  std::string text = "confidence=" + std::to_string(answer.Confidence);
  if (!answer.Larger)
    return text + " larger=none";
  return text + " larger_first_ms=" +
         std::to_string(answer.Larger->FirstToken.count()) +
         " larger_wait_ms=" + std::to_string(answer.Larger->Waiting.count()) +
         " larger_whole_ms=" +
         std::to_string(answer.Larger->Completion.count());
}

std::string describeSharedSegments(const CallerRequest &caller) {
  const std::vector<std::uint64_t> segments = sharedSegments(caller);
  std::string text;
  for (std::size_t n = 0; n < std::min(segments.size(), MaxLoggedSegments); ++n)
    text += (n > 0 ? "," : "") + formatHex(segments[n]);
  return text;
}

std::string formatFactor(double factor) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(2) << factor;
  return text.str();
}

std::string formatHex(std::uint64_t number) {
  std::ostringstream text;
  text << std::hex << number;
  return text.str();
}

std::string describe(const http1::CallProgress &call) {
  const auto yesNo = [](bool value) { return value ? "yes" : "no"; };
  return "connection=" + std::to_string(call.Connection) +
         " reused=" + yesNo(call.Reused) +
         " connected=" + yesNo(call.Connected) + " sent=" + yesNo(call.Sent) +
         " call_ms=" + std::to_string(call.Age.count()) +
         (call.Defect.empty() ? "" : " defect=" + call.Defect);
}

std::string describe(const rollout::RolloutCommand &order) {
  return targetOf(order.Service, order.Target) +
         " duration_ms=" + std::to_string(order.Duration.count());
}

std::string describe(const rollout::RolloutStatus &status) {
  return targetOf(status.Service, status.Target) +
         " state=" + std::string(toText(status.Phase));
}

std::string describe(const rollout::RolloutProgress &progress) {
  return targetOf(progress.Service, progress.Target) +
         " step=" + std::to_string(progress.Step);
}

} // namespace cowslipridge::gateway
