#include "ProcessContext.hpp"

#include "cowslipridge/backing/ConsulInstanceList.hpp"
#include "cowslipridge/backing/ConsulStore.hpp"

#include <random>

namespace cowslipridge::daemon {

namespace {

/// Number of recent events kept for the timeline.
constexpr std::size_t EventCapacity = 4'096;

/// Timeout of requests to the store and the instance list.
constexpr core::Millis PlatformTimeout{3'000};

/// Number of random low bits in an incarnation. They distinguish starts within
/// the same millisecond.
constexpr unsigned RandomBits = 10;

} // namespace

core::Incarnation newIncarnation(const core::Clock &time) {
  std::random_device device;
  const auto wall = static_cast<std::uint64_t>(time.wall().count());
  const std::uint64_t low = device() & ((1U << RandomBits) - 1);
  return core::Incarnation((wall << RandomBits) | low);
}

std::string fromHex(const std::string &hex) {
  std::string bytes;
  for (std::size_t n = 0; n + 1 < hex.size(); n += 2)
    bytes += static_cast<char>(std::stoi(hex.substr(n, 2), nullptr, 16));
  return bytes;
}

ProcessContext::ProcessContext(config::DaemonSettings settings)
    : Settings(std::move(settings)), Start(newIncarnation(Time)),
      Metrics(Settings.Instance, Settings.Domain),
      Events(Time, Settings.Instance, Start, EventCapacity, &Metrics),
      Store(backing::makeConsulStore(Settings.StoreAddress, PlatformTimeout)),
      Instances(backing::makeConsulInstanceList(Settings.InstancesAddress,
                                                PlatformTimeout)) {}

} // namespace cowslipridge::daemon
