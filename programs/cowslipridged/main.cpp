// The daemon. One process runs as either an entry or a sidecar.

#include "AdminPages.hpp"
#include "ConfigurationService.hpp"
#include "EntryRole.hpp"
#include "ListPoller.hpp"
#include "ProcessContext.hpp"
#include "Registration.hpp"
#include "SidecarRole.hpp"

#include <gflags/gflags.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

DEFINE_string(settings, "",
              "path of the INI file with the settings of this process");

namespace {

using namespace cowslipridge;
using namespace cowslipridge::daemon;

constexpr int ExitBadSettings = 2;
constexpr int ExitNotStarted = 3;
constexpr std::chrono::milliseconds IdlePollInterval{20};

std::optional<config::DaemonSettings> readSettings(const std::string &path) {
  core::Findings findings;
  std::ifstream file(path);
  std::ostringstream text;
  if (file)
    text << file.rdbuf();
  else
    findings.add({path, 0, {}, {}, "the file cannot be read", {}});
  auto settings =
      file ? config::parseSettings(text.str(), path, findings) : std::nullopt;
  for (const core::Finding &it : findings.items())
    std::cerr << core::toString(it) << "\n";
  return settings;
}

// Blocks the signals in all threads, so that only sigwait() receives them.
sigset_t blockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

std::shared_ptr<RoleService> makeRole(ProcessContext &process,
                                      rpc::ConfigurationPort source) {
  if (process.Settings.Role == config::DaemonRole::Entry)
    return std::make_shared<EntryRole>(process, std::move(source));
  return std::make_shared<SidecarRole>(process, std::move(source));
}

// The role starts first, because binding its port prevents a second sidecar
// from running in the same slot.
void provideServices(kernel::Kernel &kernel, ProcessContext &process) {
  const auto configuration = std::make_shared<ConfigurationService>(process);
  const auto role = makeRole(process, configuration->port());
  configuration->setRole(role);
  kernel.provide(services::Role, role);
  kernel.provide(services::Configuration, configuration);
  kernel.provide(services::Http, std::make_shared<AdminPages>(process, role));
  kernel.provide(services::Members,
                 std::make_shared<ListPoller>(process, role, configuration));
  kernel.provide(services::Registration,
                 std::make_shared<Registration>(process));
}

// Requests in flight have their own deadlines, so draining needs no timeout.
void drain(kernel::Kernel &kernel, ProcessContext &process) {
  process.Events.report(observe::EventNumber::ProcessLeaving, {});
  process.Draining = true;
  kernel.drain();
  while (!kernel.idle())
    std::this_thread::sleep_for(IdlePollInterval);
}

int runDaemon(config::DaemonSettings settings) {
  const sigset_t signals = blockStopSignals();
  observe::configureLogging(settings.JsonLog);
  http::initializeThreadPool(settings.Threads);
  ProcessContext process(std::move(settings));
  process.Events.report(observe::EventNumber::ProcessStarted, {});
  kernel::Kernel kernel;
  provideServices(kernel, process);
  if (!kernel.start())
    return ExitNotStarted;
  process.Events.report(observe::EventNumber::ProcessReady, {});
  int signal = 0;
  sigwait(&signals, &signal);
  drain(kernel, process);
  kernel.stop();
  process.Events.report(observe::EventNumber::ProcessStopped, {});
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  gflags::SetUsageMessage("runs an entry or a sidecar; see --settings");
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  auto settings = readSettings(FLAGS_settings);
  if (!settings)
    return ExitBadSettings;
  return runDaemon(std::move(*settings));
}
