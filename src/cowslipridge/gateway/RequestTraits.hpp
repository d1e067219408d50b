#pragma once

#include "cowslipridge/gateway/Placement.hpp"
#include "cowslipridge/route/PromptCache.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace cowslipridge::gateway {

std::uint64_t hashOf(const std::string &text);
/// What a request's version and service follow from: its session, else itself.
std::uint64_t sessionHashOf(const RequestContext &facts);
/// The service that serves the request, by the weights of its route.
const core::ServiceId &serviceOf(const RequestContext &facts);
/// The model of a tier, or the one that the caller names.
std::string modelOf(const RequestContext &facts, ModelTier tier);
/// The prompt's parts as one model keeps them.
std::vector<route::CacheBlock> blocksOf(const CallerRequest &caller,
                                        const std::string &model);
std::uint64_t promptTokens(const CallerRequest &caller);
/// Events of a streamed answer, as far as they can be told in advance.
double expectedEvents(const RequestContext &facts,
                      const core::ServiceId &service);

} // namespace cowslipridge::gateway
