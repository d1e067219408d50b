#include "cowslipridge/config/GatewaySettings.hpp"
#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/gateway/Gateway.hpp"
#include "cowslipridge/http1/GuardedLoop.hpp"
#include "cowslipridge/observe/EventLog.hpp"
#include "cowslipridge/observe/LogBudget.hpp"
#include "cowslipridge/observe/LogPipe.hpp"
#include "cowslipridge/observe/Metrics.hpp"
#include "cowslipridge/platform/HeaderTranslator.hpp"
#include "cowslipridge/platform/StoreControlPlane.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>
#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <optional>
#include <sstream>

DEFINE_string(settings, "",
              "path of the settings file; by default, the value of the "
              "environment variable COWSLIPRIDGE_NODE_FILE");
DEFINE_bool(check, false, "check the settings and exit");

namespace {

using namespace cowslipridge;

constexpr int ExitSettings = 2;
constexpr int ExitFailure = 1;
/// Number of events that are kept in memory. The log has all events; nothing
/// reads them from the process itself.
constexpr std::size_t MaxEventsInMemory = 64;

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

/// Drains the gateway on SIGTERM and SIGINT; checks the settings on SIGHUP.
class SignalHandler {
public:
  SignalHandler(boost::asio::io_context &loop, gateway::Gateway &gateway,
                observe::EventLog &log)
      : Signals(loop, SIGTERM, SIGINT, SIGHUP), Gateway(gateway), Log(log) {
    wait();
  }

private:
  void wait() {
    Signals.async_wait([this](const auto &ec, int signal) {
      if (ec)
        return;
      if (signal == SIGHUP)
        checkSettings();
      else
        Gateway.drain();
      wait();
    });
  }

  // The file is only checked: settings that change at run time come from the
  // store, and addresses in the file take effect at the next start.
  void checkSettings() {
    const bool valid = readSettings(settingsFile()).has_value();
    Log.report(valid ? observe::EventNumber::SettingsChecked
                     : observe::EventNumber::SettingsRefused,
               {});
  }

  boost::asio::signal_set Signals;
  gateway::Gateway &Gateway;
  observe::EventLog &Log;
};

/// Writes log lines to standard output within a budget, without blocking on a
/// slow reader.
class BoundedLog {
public:
  BoundedLog(const core::Clock &clock, observe::EventLog &log,
             observe::Metrics &metrics)
      : Clock(clock), Log(log), Metrics(metrics), Budget({}),
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

  // Called after a successful write, when this line is likely to be written as
  // well.
  void reportSuppressed() {
    const std::uint64_t lost = Budget.takeSuppressed();
    if (lost == 0)
      return;
    Metrics.add(observe::CounterName::SuppressedLines, {},
                static_cast<double>(lost));
    Log.report(observe::EventNumber::LogSuppressed,
               {.Request = {},
                .Version = {},
                .Cause = {},
                .Detail = "lines=" + std::to_string(lost)});
  }

  const core::Clock &Clock;
  observe::EventLog &Log;
  observe::Metrics &Metrics;
  observe::LogBudget Budget;
  observe::LogPipe Pipe;
};

/// Returns a seed that differs between gateways and between their processes.
std::uint64_t seedOf(const core::InstanceId &instance, core::Millis startedAt) {
  return std::hash<std::string>()(instance.str() + "@" +
                                  std::to_string(startedAt.count()));
}

/// Larger blocks are mapped apart and given back when they are freed: the
/// largest bodies must not stay with the process. Fixed, since by default the
/// threshold rises with each block that is freed.
constexpr int MaxHeapBlockBytes = 128 * 1024;

/// Returns how many descriptors the operating system allows the process.
std::size_t allowedDescriptors() {
  constexpr std::size_t MinDescriptors = 128;
  rlimit limit{};
  const bool isKnown = ::getrlimit(RLIMIT_NOFILE, &limit) == 0;
  return isKnown ? std::max<std::size_t>(MinDescriptors, limit.rlim_cur)
                 : MinDescriptors;
}

int run(config::GatewaySettings settings) {
  ::mallopt(M_MMAP_THRESHOLD, MaxHeapBlockBytes);
  if (!settings.Descriptors)
    settings.Descriptors = allowedDescriptors();
  std::signal(SIGPIPE, SIG_IGN);
  const core::SystemClock clock;
  boost::asio::io_context loop(1);
  observe::Metrics metrics(settings.Instance, settings.Domain);
  const core::Millis startedAt = clock.wall();
  observe::EventLog log(
      clock, settings.Instance,
      core::Incarnation(static_cast<std::uint64_t>(startedAt.count())),
      MaxEventsInMemory, &metrics);
  BoundedLog lines(clock, log, metrics);
  log.report(observe::EventNumber::ProcessStarted, {});
  const platform::HeaderTranslator translator;
  platform::StoreControlPlane control(
      loop, clock, settings.Store, seedOf(settings.Instance, startedAt),
      std::min(settings.ConfigurationDeadline, settings.DrainDeadline),
      metrics);
  gateway::Gateway gateway(loop, clock, settings, translator, control, log,
                           metrics);
  gateway.start();
  const SignalHandler signals(loop, gateway, log);
  http1::runGuarded(loop, [&](const std::exception &error) {
    log.report(
        observe::EventNumber::UnexpectedError,
        {.Request = {}, .Version = {}, .Cause = {}, .Detail = error.what()});
  });
  log.report(observe::EventNumber::ProcessStopped, {});
  return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char **argv) {
  gflags::SetUsageMessage("forwards callers' requests to runners");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const auto settings = readSettings(settingsFile());
  if (!settings)
    return ExitSettings;
  if (FLAGS_check)
    return EXIT_SUCCESS;
  try {
    return run(*settings);
  } catch (const std::exception &error) {
    std::cerr << "gateway terminated: " << error.what() << "\n";
    return ExitFailure;
  }
}
