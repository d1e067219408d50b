#pragma once

#include "cowslipridge/backing/Store.hpp"
#include "cowslipridge/core/Clock.hpp"

#include <memory>
#include <string>

namespace cowslipridge::backing {

/// A store that speaks Consul's KV HTTP API at `base`. Each call but watch()
/// ends within `timeout`. Errors of reads: StoreUnavailable when the service
/// does not answer or refuses, Malformed when its answer cannot be read.
std::shared_ptr<Store> makeConsulStore(const std::string &base,
                                       core::Millis timeout);

} // namespace cowslipridge::backing
