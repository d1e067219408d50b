#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/platform/InstanceList.hpp"

#include <memory>
#include <string>

namespace cowslipridge::platform {

/// An instance list that speaks Consul's agent and health HTTP API at `base`.
/// Errors: StoreUnavailable when it does not answer or refuses, Malformed when
/// its answer cannot be read.
std::shared_ptr<InstanceList> makeConsulInstanceList(const std::string &base,
                                                     core::Millis timeout);

} // namespace cowslipridge::platform
