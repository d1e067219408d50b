#include "cowslipridge/config/GatewaySettings.hpp"
#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/gateway/Gateway.hpp"
#include "cowslipridge/observe/EventLog.hpp"
#include "cowslipridge/observe/LogBudget.hpp"
#include "cowslipridge/observe/LogPipe.hpp"
#include "cowslipridge/observe/Metrics.hpp"
#include "cowslipridge/platform/HeaderTranslator.hpp"
#include "cowslipridge/platform/StoreControlPlane.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <functional>
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
/// The log has all events; nothing reads them from the process itself.
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

/// Standard output within the bounds of a budget; never waits for its reader.
class BoundedLog {
public:
  BoundedLog(const core::Clock &clock, observe::EventLog &log,
             observe::Metrics &metrics)
      : Clock(clock), Log(log), Counts(metrics), Budget({}),
        Pipe(STDOUT_FILENO) {
    Log.setSink([this](observe::Severity level, const std::string &line) {
      write(level, line);
    });
  }
  BoundedLog(const BoundedLog &) = delete;
  BoundedLog &operator=(const BoundedLog &) = delete;
  ~BoundedLog() { Log.setSink(nullptr); }

private:
  void write(observe::Severity level, const std::string &line) {
    if (Budget.admit(level, line.size(), Clock.monotonic())) {
      if (!Pipe.write(line))
        Budget.countDropped();
      else
        reportSuppressed();
    }
  }

  // Behind a line that could be written, so that this one can be as well.
  void reportSuppressed() {
    const std::uint64_t lost = Budget.takeSuppressed();
    if (lost == 0)
      return;
    Counts.add(observe::CounterName::SuppressedLines, {},
               static_cast<double>(lost));
    Log.report(observe::EventNumber::LogSuppressed,
               {.Request = {},
                .Version = {},
                .Cause = {},
                .Detail = "lines=" + std::to_string(lost)});
  }

  const core::Clock &Clock;
  observe::EventLog &Log;
  observe::Metrics &Counts;
  observe::LogBudget Budget;
  observe::LogPipe Pipe;
};

int run(const config::GatewaySettings &settings) {
  std::signal(SIGPIPE, SIG_IGN);
  const core::SystemClock clock;
  boost::asio::io_context loop(1);
  observe::Metrics metrics(settings.Instance, settings.Domain);
  observe::EventLog log(
      clock, settings.Instance,
      core::Incarnation(static_cast<std::uint64_t>(clock.wall().count())),
      KeptEvents, &metrics);
  BoundedLog lines(clock, log, metrics);
  log.report(observe::EventNumber::ProcessStarted, {});
  const platform::HeaderTranslator translator;
  platform::StoreControlPlane control(
      loop, clock, settings.Store,
      std::hash<core::InstanceId>()(settings.Instance), metrics);
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
