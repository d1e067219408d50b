#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The operators' declarations for gateways: routes, services, organisations.
namespace cowslipridge::catalogue {

/// Whether and how a request may be retried.
enum class RouteKind {
  Idempotent,      ///< may run more than once
  NonIdempotent,   ///< runs at most once
  Stream,          ///< a stream of events; runs at most once
  ResumableStream, ///< a stream that another runner may resume
};

constexpr bool isStream(RouteKind kind) {
  return kind == RouteKind::Stream || kind == RouteKind::ResumableStream;
}
constexpr bool isRetryable(RouteKind kind) {
  return kind == RouteKind::Idempotent || kind == RouteKind::ResumableStream;
}

/// A service that receives a share of a route's requests.
struct WeightedService {
  core::ServiceId Service;
  unsigned Weight = 1;
  friend auto operator<=>(const WeightedService &,
                          const WeightedService &) = default;
};

struct Route {
  std::string Name;
  std::string Host;
  std::string PathPrefix;
  RouteKind Kind = RouteKind::NonIdempotent;
  /// Limit from the arrival of a request to the end of its answer.
  core::Millis Timeout;
  core::Millis TargetLatency; ///< to the complete answer, or to the first event
  core::Millis TargetGap;     ///< target for the longest gap between events
  int Priority = 0;           ///< 0 is the most urgent
  unsigned MaxAttempts = 1;   ///< runners that one request may be sent to
  bool Public = false;        ///< needs no API key
  /// Models that may answer, smallest first; empty when the caller names one.
  std::vector<std::string> Models;
  std::vector<WeightedService> Services;
  /// Regions in which its requests may run; empty: any.
  std::vector<std::string> HomeRegions;
  friend auto operator<=>(const Route &, const Route &) = default;
};

struct Model {
  std::string Name;
  double Cost = 0; ///< per 1,000 tokens generated
  friend auto operator<=>(const Model &, const Model &) = default;
};

/// The engine of a service whose runners generate tokens.
struct Engine {
  unsigned Slots = 1;            ///< requests in one batch
  std::uint64_t CacheTokens = 0; ///< KV cache capacity of one runner
  unsigned TokensPerEvent = 1;
  std::vector<Model> Models;
  std::uint64_t CacheBytesPerToken = 0; ///< of KV cache; 0: unknown
  /// Bandwidth between two runners, in megabits a second; 0: unknown, so that
  /// no cached prefixes are transferred.
  double TransferMbps = 0;
  friend auto operator<=>(const Engine &, const Engine &) = default;
};

struct Service {
  core::ServiceId Name;
  unsigned ConnectionLimit = 0; ///< per runner, over all gateways; 0: none
  core::Millis ColdStart;       ///< cold phase of a runner after its start
  /// Requests a second that a cold runner takes from all gateways; 0: any rate.
  double ColdPerSecond = 0;
  std::optional<Engine> Inference;
  friend auto operator<=>(const Service &, const Service &) = default;
};

struct Organisation {
  core::OrganisationId Name;
  std::vector<std::string> ApiKeys;
  std::optional<int> Priority; ///< takes precedence over the route's
  /// Regions in which its requests may run, beside those of the route; empty:
  /// any.
  std::vector<std::string> HomeRegions = {};
  friend auto operator<=>(const Organisation &, const Organisation &) = default;
};

/// The largest limits that a gateway serves: a head and a body are buffered
/// whole.
inline constexpr std::size_t LargestHeaderBytes = 1024UL * 1024;
inline constexpr std::size_t LargestBodyBytes = 64UL * 1024 * 1024;

/// Limits on the size and the duration of callers' requests.
struct CallerLimits {
  std::size_t MaxHeaderBytes = 16UL * 1024;
  std::size_t MaxBodyBytes = 4UL * 1024 * 1024;
  core::Millis HeaderTimeout{3'000};
  core::Millis IdleTimeout{15'000};
  friend auto operator<=>(const CallerLimits &, const CallerLimits &) = default;
};

/// One generation of all declarations.
struct Catalogue {
  core::Generation Version;
  std::vector<Route> Routes;
  std::vector<Service> Services;
  /// When absent, callers need no API key.
  std::optional<std::vector<Organisation>> Organisations;
  CallerLimits Limits;
  friend auto operator<=>(const Catalogue &, const Catalogue &) = default;
};

} // namespace cowslipridge::catalogue
