#pragma once

#include "Caller.hpp"
#include "FaultProxy.hpp"
#include "Process.hpp"

#include "support/Loopback.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cowslipridge::integration {

/// One stand-in process and where it listens.
struct StandInProcess {
  std::string Base;
  std::uint16_t Port = 0;
  std::unique_ptr<Process> Program;

  /// Replaces its faults.
  void setFaults(const nlohmann::json &faults) const;
  [[nodiscard]] nlohmann::json page(const std::string &target) const;
};

inline const std::string DefaultFleetKey =
    "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

/// How one daemon is to be started.
struct DaemonOptions {
  std::string Name;
  std::string Role = "entry";
  std::string Service;          ///< sidecars only
  std::string Versions;         ///< sidecars only, separated by commas
  std::string RunnerAddress;    ///< sidecars only
  std::string StoreAddress;     ///< empty: the cluster's own
  std::string InstancesAddress; ///< empty: the cluster's own
  std::string MaxBody = "1MiB";
  std::string FleetKey = DefaultFleetKey;
};

/// One daemon process. Starting it again keeps its settings and its name.
class Daemon {
public:
  Daemon(DaemonOptions options, std::string settings, std::string logPath,
         std::uint16_t httpPort, std::uint16_t rpcPort);

  void start();
  /// Waits until /readyz answers 200.
  [[nodiscard]] bool waitUntilReady() const;
  [[nodiscard]] std::string base() const { return support::baseUrl(HttpPort); }
  [[nodiscard]] std::uint16_t httpPort() const { return HttpPort; }
  [[nodiscard]] std::uint16_t rpcPort() const { return RpcPort; }
  [[nodiscard]] const std::string &name() const { return Options.Name; }
  Process &process() { return *Program; }
  /// A page that only operators may read.
  [[nodiscard]] nlohmann::json adminPage(const std::string &target) const;

private:
  DaemonOptions Options;
  std::string Settings;
  std::string LogPath;
  std::uint16_t HttpPort;
  std::uint16_t RpcPort;
  std::unique_ptr<Process> Program;
};

/// What the platform of one cluster is to be like.
struct PlatformOptions {
  unsigned InstancesLagMs = 0;
  std::vector<std::string> MoreFlags;
};

/// A platform of stand-ins, runners and daemons, all real processes.
class Cluster {
public:
  explicit Cluster(const PlatformOptions &options = {});

  /// Puts declarations in force, as cowslipctl does.
  void publish(const std::vector<std::string> &texts);
  StandInProcess &addRunner(const std::string &name,
                            const std::vector<std::string> &flags = {});
  StandInProcess &addPlain(const std::string &name,
                           const std::vector<std::string> &flags = {});
  /// Starts a daemon and waits until it is ready.
  Daemon &addDaemon(const DaemonOptions &options);
  Daemon &addSidecar(const std::string &name, const std::string &service,
                     const std::string &versions, const StandInProcess &runner);
  Daemon &addEntry(const std::string &name);

  [[nodiscard]] const StandInProcess &store() const { return *Store; }
  [[nodiscard]] const StandInProcess &instances() const { return *Instances; }
  [[nodiscard]] const StandInProcess &ratings() const { return *Ratings; }

private:
  std::unique_ptr<StandInProcess>
  startStandIn(const std::string &kind, const std::string &name,
               const std::vector<std::string> &flags);
  [[nodiscard]] std::string settingsOf(const DaemonOptions &options,
                                       std::uint16_t httpPort,
                                       std::uint16_t rpcPort) const;

  TempDir Files;
  std::unique_ptr<StandInProcess> Store;
  std::unique_ptr<StandInProcess> Instances;
  std::unique_ptr<StandInProcess> Ratings;
  std::vector<std::unique_ptr<StandInProcess>> Runners;
  std::vector<std::unique_ptr<Daemon>> Daemons;
};

} // namespace cowslipridge::integration
