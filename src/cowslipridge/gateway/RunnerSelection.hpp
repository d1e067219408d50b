#pragma once

#include "cowslipridge/config/GatewaySettings.hpp"
#include "cowslipridge/gateway/Placement.hpp"
#include "cowslipridge/gateway/PromptLocation.hpp"
#include "cowslipridge/gateway/RunnerEligibility.hpp"
#include "cowslipridge/limits/RejectionRates.hpp"
#include "cowslipridge/route/ModelCascade.hpp"
#include "cowslipridge/route/ModelPools.hpp"
#include "cowslipridge/route/PrefillForecast.hpp"
#include "cowslipridge/route/PromptCache.hpp"

#include <optional>
#include <string>
#include <vector>

namespace cowslipridge::gateway {

/// The state that a selection reads; must outlive it.
struct SelectionInputs {
  const RunnerEligibility &Eligibility;
  const limits::RejectionRates &Rejections;
  const route::PrefillForecast &Forecast;
  const route::PromptCache &Cache;
};

/// Chooses the runner for a request: the one with the best forecast among the
/// healthy runners of the right version in the pool of the model.
class RunnerSelection {
public:
  struct Candidate {
    const membership::BackendServer *Server = nullptr;
    std::uint64_t UncachedTokens = 0; ///< that the runner has to prefill
    /// The runner from which the cached prefix is fetched; null if none is.
    const membership::BackendServer *PrefixSource = nullptr;
    std::uint64_t FetchedTokens = 0;
    core::Millis FirstToken;
    double Score = 0; ///< milliseconds; lower is better
  };

  RunnerSelection(const config::GatewaySettings &settings,
                  const SelectionInputs &inputs);

  /// Returns nothing when no runner other than those in `excluded` serves the
  /// request.
  [[nodiscard]] std::optional<Candidate>
  choose(const RequestContext &request, ModelTier tier,
         const std::vector<core::RunnerId> &excluded, core::Millis now) const;
  /// Forecasts the latency of the request in the tier's pool. Returns nothing
  /// when no runner serves it.
  [[nodiscard]] std::optional<route::TierForecast>
  forecast(const RequestContext &request, std::size_t tier,
           core::Millis now) const;
  /// Records that the request is sent to the candidate.
  void onSelected(const RequestContext &request, ModelTier tier,
                  const Candidate &candidate, core::Millis now);

private:
  /// Returns the mean number of requests that a prefill delays at a server.
  [[nodiscard]] double congestionOf(const ServerList &servers) const;
  Candidate evaluate(const membership::BackendServer &server,
                     const PromptLocation &prompt, const std::string &model,
                     const RequestContext &request, double congestion,
                     core::Millis now) const;
  /// Lets the chosen runner fetch the cached prefix of the prompt from the one
  /// that has most of it, if that is faster than prefilling it again.
  void planTransfer(Candidate &candidate, const PromptLocation &prompt,
                    const ServerList &servers, const std::string &model,
                    const RequestContext &request) const;
  /// Returns those of `servers` that serve the tier.
  ServerList poolOf(ServerList servers, const RequestContext &request,
                    ModelTier tier) const;
  std::optional<Candidate> best(const ServerList &servers,
                                const std::string &model,
                                const RequestContext &request,
                                core::Millis now) const;
  /// Returns the best candidate of the tier's pool, or of all servers when the
  /// pool can't keep up.
  std::optional<Candidate> bestOfPool(const ServerList &servers,
                                      const std::string &model, ModelTier tier,
                                      const RequestContext &request,
                                      core::Millis now) const;

  const core::FailureDomainId Domain;
  const RunnerEligibility &Eligibility;
  const limits::RejectionRates &Rejections;
  const route::PrefillForecast &Forecast;
  const route::PromptCache &Cache;
  route::ModelPools Pools;
};

} // namespace cowslipridge::gateway
