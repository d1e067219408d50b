#pragma once

#include "cowslipridge/backing/Store.hpp"
#include "cowslipridge/core/Clock.hpp"

#include <memory>
#include <string>

namespace cowslipridge::backing {

/// Returns a store that uses Consul's KV HTTP API at `base`. Each call except
/// watch() ends within `timeout`. Errors of reads: StoreUnavailable when the
/// service does not respond or rejects the request, Malformed when its response
/// cannot be parsed.
std::shared_ptr<Store> makeConsulStore(const std::string &base,
                                       core::Millis timeout);

} // namespace cowslipridge::backing
