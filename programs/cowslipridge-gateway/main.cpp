#include "cowslipridge/config/GatewaySettings.hpp"
#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/gateway/Gateway.hpp"
#include "cowslipridge/observe/EventLog.hpp"
#include "cowslipridge/observe/Metrics.hpp"
#include "cowslipridge/platform/HeaderTranslator.hpp"
#include "cowslipridge/platform/StoreControlPlane.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

DEFINE_string(settings, "",
              "the settings file; by default the one that the environment "
              "variable COWSLIPRIDGE_NODE_FILE names");
DEFINE_bool(check, false, "check the settings and exit");

namespace {

using namespace cowslipridge;

constexpr int ExitSettings = 2;
constexpr int ExitFailure = 1;
/// Events that /admin pages could show; the log has all of them.
constexpr std::size_t KeptEvents = 64;

std::string settingsFile() {
  if (!FLAGS_settings.empty())
    return FLAGS_settings;
  const char *file = std::getenv("COWSLIPRIDGE_NODE_FILE");
  return file == nullptr ? std::string() : std::string(file);
}

std::optional<config::GatewaySettings> readSettings(const std::string &file) {
  std::ifstream in(file);
  if (!in) {
    std::cerr << "cannot read the settings file '" << file << "'\n";
    return std::nullopt;
  }
  std::stringstream text;
  text << in.rdbuf();
  core::Findings findings;
  auto settings = config::parseGatewaySettings(text.str(), file, findings);
  for (const core::Finding &it : findings.items())
    std::cerr << core::toString(it) << "\n";
  return settings;
}

/// Ends the gateway on SIGTERM and SIGINT; checks the settings on SIGHUP.
class Signals {
public:
  Signals(boost::asio::io_context &loop, gateway::Gateway &gateway,
          observe::EventLog &log)
      : Caught(loop, SIGTERM, SIGINT, SIGHUP), Gateway(gateway), Log(log) {
    wait();
  }

private:
  void wait() {
    Caught.async_wait([this](const auto &ec, int signal) {
      if (ec)
        return;
      if (signal == SIGHUP)
        reload();
      else
        Gateway.leave();
      wait();
    });
  }

  // Everything that changes at run time comes from the store; what the file
  // says of addresses holds until the next start.
  void reload() {
    const bool good = readSettings(settingsFile()).has_value();
    Log.report(good ? observe::EventNumber::SettingsChecked
                    : observe::EventNumber::SettingsRefused,
               {});
  }

  boost::asio::signal_set Caught;
  gateway::Gateway &Gateway;
  observe::EventLog &Log;
};

int run(const config::GatewaySettings &settings) {
  std::signal(SIGPIPE, SIG_IGN);
  observe::configureLogging(true);
  const core::SystemClock clock;
  boost::asio::io_context loop(1);
  observe::Metrics metrics(settings.Instance, settings.Domain);
  observe::EventLog log(
      clock, settings.Instance,
      core::Incarnation(static_cast<std::uint64_t>(clock.wall().count())),
      KeptEvents, &metrics);
  log.report(observe::EventNumber::ProcessStarted, {});
  const platform::HeaderTranslator translator;
  platform::StoreControlPlane control(loop, clock, settings.Store);
  gateway::Gateway gateway(loop, clock, settings, translator, control, log,
                           metrics);
  gateway.start();
  const Signals signals(loop, gateway, log);
  loop.run();
  log.report(observe::EventNumber::ProcessStopped, {});
  return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char **argv) {
  gflags::SetUsageMessage("relays callers' requests to runners");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const auto settings = readSettings(settingsFile());
  if (!settings)
    return ExitSettings;
  if (FLAGS_check)
    return EXIT_SUCCESS;
  try {
    return run(*settings);
  } catch (const std::exception &error) {
    std::cerr << "the gateway ends: " << error.what() << "\n";
    return ExitFailure;
  }
}
