#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/platform/Ratings.hpp"

#include <memory>
#include <string>

namespace cowslipridge::platform {

/// A rating service that answers CloudEvents batches at `base`. Errors:
/// StoreUnavailable when it does not answer or refuses, Malformed when its
/// answer cannot be read.
std::shared_ptr<Ratings> makeCloudEventsRatings(const std::string &base,
                                                core::Millis timeout);

} // namespace cowslipridge::platform
