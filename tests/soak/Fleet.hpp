#pragma once

#include "soak/Control.hpp"
#include "soak/History.hpp"
#include "soak/Layout.hpp"
#include "soak/Plan.hpp"

#include "cowslipridge/http1/LoopTimer.hpp"
#include "integration/support/Crowd.hpp"
#include "integration/support/Process.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cowslipridge::soak {

/// Where the programs and the files of a run are.
struct FleetFiles {
  std::string SoakProgram;
  std::string GatewayProgram;
  std::string Folder; ///< for settings, logs and journals
};

/// Memory that a gateway may take up.
inline constexpr long GatewayMemoryKiB = 64L * 1024;

/// Starts the processes of a run and applies faults to them.
class Fleet {
public:
  Fleet(boost::asio::io_context &loop, const core::Clock &clock,
        const Layout &layout, FleetFiles files);
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  void startStandIns();
  void startGateways();
  void publishConfiguration();
  /// Begins the fault and schedules its end.
  void apply(const Fault &fault);
  /// Returns the names of the gateways or runners that the fault strikes; none
  /// for a fault of the store.
  [[nodiscard]] std::vector<std::string> subjectsOf(const Fault &fault) const;
  /// Records gateways that ended by themselves and the memory of the others.
  void watch(History &history);
  /// Ends all processes and adds what the runners wrote to the history.
  void stop(History &history);

private:
  struct Member;

  void startRunner(std::size_t n);
  /// Returns the id of the runner that listens at this place now.
  [[nodiscard]] std::string runnerId(std::size_t n) const;
  void startCrowd(const CallerCrowd &fault);
  void startGateway(std::size_t n);
  std::string settingsOf(const GatewayPlace &place) const;
  [[nodiscard]] std::string path(const std::string &name) const;
  void later(core::Millis wait, std::function<void()> action);
  void forEachRunner(bool streams,
                     const std::function<void(std::size_t)> &action);
  void kill(Member &member, core::Millis down, std::function<void()> restart);
  void pause(Member &member, core::Millis length);
  void stopGateway(std::size_t n, core::Millis down);
  void deviate(const RunnerDeviation &fault);
  void apply(const LinkFault &fault);
  void apply(const StoreFault &fault);

  boost::asio::io_context &Loop;
  const core::Clock &Clock;
  const Layout &Places;
  const FleetFiles Files;
  ControlClient Control;
  std::optional<integration::Process> Store;
  std::optional<integration::Process> Proxy;
  std::vector<std::unique_ptr<Member>> Runners;
  std::vector<std::unique_ptr<Member>> Gateways;
  std::vector<std::unique_ptr<http1::LoopTimer>> Timers;
  std::vector<std::unique_ptr<integration::Crowd>> Crowds;
  std::int64_t ConfigurationVersion = 0;
};

} // namespace cowslipridge::soak
