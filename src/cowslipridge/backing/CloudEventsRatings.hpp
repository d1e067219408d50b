#pragma once

#include "cowslipridge/backing/Ratings.hpp"
#include "cowslipridge/core/Clock.hpp"

#include <memory>
#include <string>

namespace cowslipridge::backing {

/// A rating service that answers CloudEvents batches at `base`. Errors:
/// StoreUnavailable when it does not answer or refuses, Malformed when its
/// answer cannot be read.
std::shared_ptr<Ratings> makeCloudEventsRatings(const std::string &base,
                                                core::Millis timeout);

} // namespace cowslipridge::backing
