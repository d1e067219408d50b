#include "cowslipridge/gateway/RequestTraits.hpp"

#include <xxhash.h>

#include <algorithm>

namespace cowslipridge::gateway {

namespace {

/// Expected output tokens as a fraction of the maximum, for requests without an
/// estimate.
constexpr double DefaultOutputFraction = 0.35;
constexpr std::size_t MaxSharedSegments = 16;
constexpr int MostUrgent = 0;
constexpr int LeastUrgent = 9;

} // namespace

std::uint64_t hashOf(const std::string &text) {
  return XXH64(text.data(), text.size(), 0);
}

std::uint64_t sessionHashOf(const RequestContext &request) {
  const CallerRequest &caller = request.Caller;
  return hashOf(caller.Session.empty() ? caller.Id.str()
                                       : caller.Session.str());
}

bool isLargestModel(const RequestContext &request, std::size_t tier) {
  return tier + 1 == request.Route->Models.size();
}

int rankOf(const RequestContext &request) {
  const catalogue::Organisation *organisation = request.Organisation;
  const int priority = organisation != nullptr && organisation->Priority
                           ? *organisation->Priority
                           : request.Route->Priority;
  return std::clamp(priority, MostUrgent, LeastUrgent);
}

bool isResumed(const RequestContext &request) {
  return request.Caller.LastEventId.value_or(0) > 0;
}

std::vector<route::CacheBlock> blocksOf(const CallerRequest &caller,
                                        const std::string &model) {
  std::vector<route::CacheBlock> blocks;
  std::uint64_t hash = route::PromptCache::seedOf(model);
  for (const PromptPart &it : caller.Prompt) {
    blocks.push_back(route::PromptCache::chain(hash, it.Id, it.Tokens));
    hash = blocks.back().Hash;
  }
  return blocks;
}

std::vector<std::uint64_t> sharedSegments(const CallerRequest &caller) {
  std::vector<std::uint64_t> ids;
  for (std::size_t n = 0; n + 1 < caller.Prompt.size() && n < MaxSharedSegments;
       ++n)
    ids.push_back(caller.Prompt[n].Id);
  return ids;
}

limits::RequestTraits traitsOf(const CallerRequest &caller,
                               const core::ServiceId &service) {
  return {service, sharedSegments(caller), caller.Content};
}

std::uint64_t contentDigest(const RequestContext &request,
                            const http1::RequestHead &head,
                            std::string_view body) {
  const std::string organisation = request.Organisation != nullptr
                                       ? request.Organisation->Name.str()
                                       : std::string();
  // Each part is hashed with the digest of those before as its seed, so that
  // the same bytes in other parts give another digest.
  std::uint64_t digest = 0;
  for (const std::string_view part :
       {std::string_view(organisation), std::string_view(head.Method),
        std::string_view(request.Caller.Host), std::string_view(head.Target),
        body})
    digest = XXH64(part.data(), part.size(), digest);
  return digest;
}

std::uint64_t promptTokens(const CallerRequest &caller) {
  std::uint64_t listed = 0;
  for (const PromptPart &it : caller.Prompt)
    listed += it.Tokens;
  return std::max(listed, caller.PromptTokens);
}

std::string modelOf(const RequestContext &request, ModelTier tier) {
  return tier ? request.Route->Models.at(*tier) : request.Caller.Model;
}

const core::ServiceId &serviceOf(const RequestContext &request) {
  const auto &services = request.Route->Services;
  unsigned total = 0;
  for (const catalogue::WeightedService &it : services)
    total += it.Weight;
  std::uint64_t point = sessionHashOf(request) % std::max(1U, total);
  for (const catalogue::WeightedService &it : services) {
    if (point < it.Weight)
      return it.Service;
    point -= it.Weight;
  }
  return services.front().Service;
}

double transferMillisPerToken(const RequestContext &request) {
  constexpr double BitsPerByte = 8;
  constexpr double BitsPerMilliAtOneMbps = 1'000;
  const catalogue::Service *declared =
      request.Catalogue->service(serviceOf(request));
  if (declared == nullptr || !declared->Inference ||
      declared->Inference->TransferMbps <= 0)
    return 0;
  const double bits =
      static_cast<double>(declared->Inference->CacheBytesPerToken) *
      BitsPerByte;
  return bits / (declared->Inference->TransferMbps * BitsPerMilliAtOneMbps);
}

double expectedEvents(const RequestContext &request,
                      const core::ServiceId &service) {
  const catalogue::Service *declared = request.Catalogue->service(service);
  const double perEvent = declared != nullptr && declared->Inference
                              ? declared->Inference->TokensPerEvent
                              : 1;
  const double tokens =
      request.Caller.EstimatedOutputTokens
          ? static_cast<double>(*request.Caller.EstimatedOutputTokens)
          : DefaultOutputFraction *
                static_cast<double>(request.Caller.MaxOutputTokens);
  return tokens / perEvent;
}

} // namespace cowslipridge::gateway
