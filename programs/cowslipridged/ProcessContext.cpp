#include "ProcessContext.hpp"

#include "cowslipridge/backing/ConsulInstanceList.hpp"
#include "cowslipridge/backing/ConsulStore.hpp"

#include <random>

namespace cowslipridge::daemon {

namespace {

/// Events kept for the time line.
constexpr std::size_t EventCapacity = 4'096;

/// Longest wait for an answer of the platform's services.
constexpr core::Millis PlatformTimeout{3'000};

/// Random low bits tell starts within one millisecond apart.
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
      Counts(Settings.Instance, Settings.Domain),
      Events(Time, Settings.Instance, Start, EventCapacity, &Counts),
      Keys(backing::makeConsulStore(Settings.StoreAddress, PlatformTimeout)),
      Instances(backing::makeConsulInstanceList(Settings.InstancesAddress,
                                                PlatformTimeout)) {}

} // namespace cowslipridge::daemon
