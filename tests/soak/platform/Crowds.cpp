#include "soak/platform/Crowds.hpp"

#include "soak/platform/Callers.hpp"

#include "integration/platform/CrowdKinds.hpp"

namespace cowslipridge::soak {

namespace {

/// Clients of a crowd for each target.
constexpr std::size_t Clients = 60;

integration::CrowdTarget targetAt(const char *path) {
  return {path, CallersHost, CallersKey};
}

} // namespace

std::size_t countCrowdKinds() { return integration::crowdKinds().size(); }

void addClients(integration::Crowd &crowd, std::size_t kind,
                const GatewayPlace &gateway) {
  const integration::CrowdKind &what = integration::crowdKinds()[kind];
  for (std::size_t n = 0; n < Clients; ++n) {
    crowd.add(gateway.Callers, what.Script(targetAt("/post/crowd")));
    crowd.add(gateway.Callers, what.Script(targetAt("/nowhere/crowd")));
    crowd.add(gateway.Readiness, what.Script(targetAt("/v1/readiness")));
  }
}

} // namespace cowslipridge::soak
