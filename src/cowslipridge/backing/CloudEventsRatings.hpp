#pragma once

#include "cowslipridge/backing/Ratings.hpp"
#include "cowslipridge/core/Clock.hpp"

#include <memory>
#include <string>

namespace cowslipridge::backing {

/// Returns a client of the rating service at `base`, which returns CloudEvents
/// batches. Errors: StoreUnavailable when the service does not respond or
/// rejects the request, Malformed when its response cannot be parsed.
std::shared_ptr<Ratings> makeCloudEventsRatings(const std::string &base,
                                                core::Millis timeout);

} // namespace cowslipridge::backing
