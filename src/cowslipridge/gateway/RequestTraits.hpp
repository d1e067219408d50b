#pragma once

#include "cowslipridge/gateway/Placement.hpp"
#include "cowslipridge/http1/Message.hpp"
#include "cowslipridge/limits/RequestTrait.hpp"
#include "cowslipridge/route/PromptCache.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipridge::gateway {

std::uint64_t hashOf(const std::string &text);
/// Returns the hash that determines the version and the service of a request:
/// of its session, or of its own id when it has none.
std::uint64_t sessionHashOf(const RequestContext &request);
/// Returns the service that handles the request, by the weights of its route.
const core::ServiceId &serviceOf(const RequestContext &request);
/// Returns the model of the tier, or the one that the caller named.
std::string modelOf(const RequestContext &request, ModelTier tier);
/// Returns whether the tier is the route's largest model.
bool isLargestModel(const RequestContext &request, std::size_t tier);
/// Returns the rank of the request, 0 to 9, 0 being the most urgent: that of
/// its organisation, or else of its route.
int rankOf(const RequestContext &request);
/// Returns whether the caller continues a stream of which it has events.
bool isResumed(const RequestContext &request);
/// Returns the prompt as cache blocks of the model.
std::vector<route::CacheBlock> blocksOf(const CallerRequest &caller,
                                        const std::string &model);
/// Returns the ids of the prompt's segments that other requests may share: all
/// but the last one. Of long prompts, only the first ones.
std::vector<std::uint64_t> sharedSegments(const CallerRequest &caller);
/// Returns what the request may share with others that crash runners of the
/// service.
limits::RequestTraits traitsOf(const CallerRequest &caller,
                               const core::ServiceId &service);
/// Returns a digest that is the same for all requests of one organisation with
/// the same method, host, target and body, whatever their ids.
std::uint64_t contentDigest(const RequestContext &request,
                            const http1::RequestHead &head,
                            std::string_view body);
std::uint64_t promptTokens(const CallerRequest &caller);
/// Returns the time that runners of the service need to transfer one token of a
/// cached prefix to each other; 0 if it is unknown.
double transferMillisPerToken(const RequestContext &request);
/// Estimates the number of events in a streamed response.
double expectedEvents(const RequestContext &request,
                      const core::ServiceId &service);

} // namespace cowslipridge::gateway
