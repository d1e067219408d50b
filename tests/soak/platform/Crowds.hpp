#pragma once

#include "integration/support/Crowd.hpp"
#include "soak/Layout.hpp"

#include <cstddef>

namespace cowslipridge::soak {

/// Number of the kinds of crowds.
[[nodiscard]] std::size_t countCrowdKinds();

/// Adds clients of one kind that press a gateway at a route, at no route and at
/// its readiness address.
void addClients(integration::Crowd &crowd, std::size_t kind,
                const GatewayPlace &gateway);

} // namespace cowslipridge::soak
