#include "Cluster.hpp"

#include "Declarations.hpp"

#include "cowslipridge/backing/ConsulStore.hpp"
#include "cowslipridge/config/DeclarationParser.hpp"
#include "cowslipridge/config/Publisher.hpp"

#include "support/Waiting.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <stdexcept>
#include <utility>

namespace cowslipridge::integration {

namespace {

constexpr core::Millis StoreTimeout{5'000};
constexpr char SessionKey[] =
    "101112131415161718191a1b1c1d1e1f000102030405060708090a0b0c0d0e0f";

std::string hostAndPort(std::uint16_t port) {
  return support::loopbackAddress() + ":" + std::to_string(port);
}

} // namespace

void StandInProcess::setFaults(const nlohmann::json &faults) const {
  EXPECT_EQ(Caller(Base).put("/debug/faults", faults).status(), 200);
}

nlohmann::json StandInProcess::page(const std::string &target) const {
  return Caller(Base).get(target).json();
}

Daemon::Daemon(DaemonOptions options, std::string settings, std::string logPath,
               std::uint16_t httpPort, std::uint16_t rpcPort)
    : Options(std::move(options)), Settings(std::move(settings)),
      LogPath(std::move(logPath)), HttpPort(httpPort), RpcPort(rpcPort) {}

void Daemon::start() {
  Program.reset();
  Program = std::make_unique<Process>(
      COWSLIPRIDGED_PATH, std::vector<std::string>{"--settings", Settings},
      LogPath);
}

bool Daemon::waitUntilReady() const {
  Caller caller(base(), "", core::Millis(2'000));
  return support::eventually([&] {
           return !Program->running() || caller.get("/readyz").status() == 200;
         }) &&
         Program->running();
}

nlohmann::json Daemon::adminPage(const std::string &target) const {
  return Caller(base(), AdminKey).get(target).json();
}

Cluster::Cluster(const PlatformOptions &options)
    : Store(startStandIn("store", "store", options.ExtraStoreFlags)),
      Instances(startStandIn(
          "instances", "instances",
          {"--instances_lag_ms=" + std::to_string(options.InstancesLagMs)})),
      Ratings(startStandIn("ratings", "ratings", {})) {}

std::unique_ptr<StandInProcess>
Cluster::startStandIn(const std::string &kind, const std::string &name,
                      const std::vector<std::string> &flags) {
  auto it = std::make_unique<StandInProcess>();
  it->Port = support::nextPort();
  it->Base = support::baseUrl(it->Port);
  std::vector<std::string> arguments = {"--" + kind + "=" +
                                        hostAndPort(it->Port)};
  arguments.insert(arguments.end(), flags.begin(), flags.end());
  it->Program = std::make_unique<Process>(COWSLIPRIDGE_STANDINS_PATH, arguments,
                                          Files.path(name + ".log"));
  Caller caller(it->Base, "", core::Millis(2'000));
  if (!support::eventually(
          [&] { return caller.get("/debug/faults").status() == 200; }))
    throw std::runtime_error("stand-in process did not become ready: " +
                             it->Program->log());
  return it;
}

void Cluster::publish(const std::vector<std::string> &texts) {
  static std::atomic<int> run = 0;
  config::Publication publication;
  publication.Id = "publication-" + std::to_string(++run);
  publication.Publisher = "tester";
  core::Findings findings;
  for (const std::string &text : texts)
    if (auto service = config::parseDeclaration(text, "test.ini", findings))
      publication.Services.push_back(std::move(*service));
  for (const core::Finding &it : findings.items())
    ADD_FAILURE() << core::toString(it);
  const auto port = backing::makeConsulStore(Store->Base, StoreTimeout);
  const auto result = config::Publisher(*port).publish(publication);
  EXPECT_TRUE(std::holds_alternative<config::Published>(result));
}

StandInProcess &Cluster::addRunner(const std::string &name,
                                   const std::vector<std::string> &flags) {
  std::vector<std::string> all = {
      "--runner_name=" + name, "--runner_models=small=0.8,large=0.95",
      "--runner_prefill_ms=0", "--runner_ratings=" + Ratings->Base};
  all.insert(all.end(), flags.begin(), flags.end());
  Runners.push_back(startStandIn("runner", name + "-runner", all));
  return *Runners.back();
}

StandInProcess &Cluster::addPlainRunner(const std::string &name,
                                        const std::vector<std::string> &flags) {
  Runners.push_back(startStandIn("plain", name + "-runner", flags));
  return *Runners.back();
}

std::string Cluster::settingsOf(const DaemonOptions &options,
                                std::uint16_t httpPort,
                                std::uint16_t rpcPort) const {
  const auto valueOr = [](const std::string &text, const std::string &other) {
    return text.empty() ? other : text;
  };
  std::string text =
      "[process]\nrole = " + options.Role + "\ninstance = " + options.Name +
      "\nfailure_domain = kochi-a\nthreads = 2\nlog = text\n\n[listen]\n" +
      "address = " + support::loopbackAddress() +
      "\nhttp_port = " + std::to_string(httpPort) +
      "\nrpc_port = " + std::to_string(rpcPort) +
      "\nmax_body = " + options.MaxBody + "\n\n[platform]\n" +
      "store = " + valueOr(options.StoreAddress, Store->Base) +
      "\ninstances = " + valueOr(options.InstancesAddress, Instances->Base) +
      "\nratings = " + Ratings->Base + "\n\n[security]\n" +
      "fleet_key = " + options.FleetKey + "\nsession_key = " + SessionKey +
      "\nadmin_key_hash = " + hashKey(AdminKey) + "\n";
  if (options.Role == "sidecar")
    text += "\n[runner]\naddress = " + options.RunnerAddress +
            "\nservice = " + options.Service +
            "\nversions = " + options.Versions + "\n";
  return text;
}

Daemon &Cluster::addDaemon(const DaemonOptions &options) {
  const std::uint16_t httpPort = support::nextPort();
  const std::uint16_t rpcPort = support::nextPort();
  const std::string settings = Files.write(
      options.Name + ".ini", settingsOf(options, httpPort, rpcPort));
  Daemons.push_back(std::make_unique<Daemon>(
      options, settings, Files.path(options.Name + ".log"), httpPort, rpcPort));
  Daemon &it = *Daemons.back();
  it.start();
  if (!it.waitUntilReady())
    throw std::runtime_error(options.Name +
                             " did not become ready: " + it.process().log());
  return it;
}

Daemon &Cluster::addSidecar(const std::string &name, const std::string &service,
                            const std::string &versions,
                            const StandInProcess &runner) {
  DaemonOptions options;
  options.Name = name;
  options.Role = "sidecar";
  options.Service = service;
  options.Versions = versions;
  options.RunnerAddress = runner.Base;
  return addDaemon(options);
}

Daemon &Cluster::addEntry(const std::string &name) {
  DaemonOptions options;
  options.Name = name;
  return addDaemon(options);
}

} // namespace cowslipridge::integration
