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

/// One stand-in process and the address on which it listens.
struct StandInProcess {
  std::string Base;
  std::uint16_t Port = 0;
  std::unique_ptr<Process> Program;

  /// Replaces the faults that the stand-in injects.
  void setFaults(const nlohmann::json &faults) const;
  /// Returns the JSON document at `target`.
  [[nodiscard]] nlohmann::json page(const std::string &target) const;
};

inline const std::string DefaultFleetKey =
    "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

/// The settings of one daemon.
struct DaemonOptions {
  std::string Name;
  std::string Role = "entry";
  std::string Service;          ///< sidecars only
  std::string Versions;         ///< sidecars only, separated by commas
  std::string RunnerAddress;    ///< sidecars only
  std::string StoreAddress;     ///< empty: the one of the cluster
  std::string InstancesAddress; ///< empty: the one of the cluster
  std::string MaxBody = "1MiB";
  std::string FleetKey = DefaultFleetKey;
};

/// One daemon process. A restart keeps its settings and its name.
class Daemon {
public:
  Daemon(DaemonOptions options, std::string settings, std::string logPath,
         std::uint16_t httpPort, std::uint16_t rpcPort);

  void start();
  /// Waits until /readyz returns 200; false if the process exits or the wait
  /// times out.
  [[nodiscard]] bool waitUntilReady() const;
  [[nodiscard]] std::string base() const { return support::baseUrl(HttpPort); }
  [[nodiscard]] std::uint16_t httpPort() const { return HttpPort; }
  [[nodiscard]] std::uint16_t rpcPort() const { return RpcPort; }
  [[nodiscard]] const std::string &name() const { return Options.Name; }
  Process &process() { return *Program; }
  /// Returns an admin page, read with the operators' key.
  [[nodiscard]] nlohmann::json adminPage(const std::string &target) const;

private:
  DaemonOptions Options;
  std::string Settings;
  std::string LogPath;
  std::uint16_t HttpPort;
  std::uint16_t RpcPort;
  std::unique_ptr<Process> Program;
};

/// The settings of a cluster's platform stand-ins.
struct PlatformOptions {
  unsigned InstancesLagMs = 0;
  std::vector<std::string> ExtraStoreFlags;
};

/// Platform stand-ins, runners and daemons, each in a process of its own.
class Cluster {
public:
  explicit Cluster(const PlatformOptions &options = {});

  /// Publishes declarations, as cowslipctl does.
  void publish(const std::vector<std::string> &texts);
  StandInProcess &addRunner(const std::string &name,
                            const std::vector<std::string> &flags = {});
  StandInProcess &addPlainRunner(const std::string &name,
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
