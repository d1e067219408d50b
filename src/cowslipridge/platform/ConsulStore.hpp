#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/platform/Store.hpp"

#include <memory>
#include <string>

namespace cowslipridge::platform {

/// A store that speaks Consul's KV HTTP API at `base`. Each call but watch()
/// ends within `timeout`. Errors of reads: StoreUnavailable when the service
/// does not answer or refuses, Malformed when its answer cannot be read.
std::shared_ptr<Store> makeConsulStore(const std::string &base,
                                       core::Millis timeout);

} // namespace cowslipridge::platform
