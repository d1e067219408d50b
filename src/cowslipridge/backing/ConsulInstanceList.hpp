#pragma once

#include "cowslipridge/backing/InstanceList.hpp"
#include "cowslipridge/core/Clock.hpp"

#include <memory>
#include <string>

namespace cowslipridge::backing {

/// Returns an instance list that uses Consul's agent and health HTTP API at
/// `base`. Errors: StoreUnavailable when the service does not respond or
/// rejects the request, Malformed when its response cannot be parsed.
std::shared_ptr<InstanceList> makeConsulInstanceList(const std::string &base,
                                                     core::Millis timeout);

} // namespace cowslipridge::backing
