#pragma once

#include "cowslipridge/backing/InstanceList.hpp"
#include "cowslipridge/core/Clock.hpp"

#include <memory>
#include <string>

namespace cowslipridge::backing {

/// An instance list that speaks Consul's agent and health HTTP API at `base`.
/// Errors: StoreUnavailable when it does not answer or refuses, Malformed when
/// its answer cannot be read.
std::shared_ptr<InstanceList> makeConsulInstanceList(const std::string &base,
                                                     core::Millis timeout);

} // namespace cowslipridge::backing
