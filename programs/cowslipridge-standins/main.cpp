#include "standins/Host.hpp"
#include "standins/InstanceRegistry.hpp"
#include "standins/KeyValueStore.hpp"
#include "standins/ModelRunner.hpp"
#include "standins/PlainService.hpp"
#include "standins/RatingService.hpp"
#include "standins/WeightServer.hpp"

#include <gflags/gflags.h>

#include <charconv>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

DEFINE_string(runner, "", "ADDR:PORT of a model runner");
DEFINE_string(runner_name, "runner",
              "runner name under which its answers are graded");
DEFINE_string(runner_models, "small=0.6",
              "models loaded at start, each with its quality: a=0.6,b=0.9");
DEFINE_double(runner_tokens_per_second, 200, "generation speed of one answer");
DEFINE_uint64(runner_prefill_ms, 100,
              "prefill time per 1,000 uncached prompt tokens");
DEFINE_uint64(runner_slots, 8,
              "maximum number of answers generated concurrently");
DEFINE_uint64(runner_cache_blocks, 4096,
              "capacity of the prompt cache in blocks of 16 tokens");
DEFINE_bool(runner_checks_fencing, true, "refuse outdated fencing numbers");
DEFINE_string(runner_ratings, "", "http://ADDR:PORT that grades are sent to");
DEFINE_string(runner_weights, "", "http://ADDR:PORT that weights come from");
DEFINE_string(plain, "", "ADDR:PORT of a plain service");
DEFINE_uint64(plain_delay_ms, 0, "time to answer a call");
DEFINE_string(store, "", "ADDR:PORT of a key-value service");
DEFINE_uint64(store_reads_per_second, 0, "0: no limit");
DEFINE_uint64(store_writes_per_second, 0, "0: no limit");
DEFINE_string(instances, "", "ADDR:PORT of an instance list");
DEFINE_uint64(instances_lag_ms, 0, "delay until a change becomes visible");
DEFINE_string(ratings, "", "ADDR:PORT of a rating service");
DEFINE_uint64(ratings_delay_ms, 0, "delay from an answer to its grade");
DEFINE_double(ratings_missing, 0,
              "fraction of grades that are never delivered, 0..1");
DEFINE_string(weights, "", "ADDR:PORT of a weight store");
DEFINE_uint64(weights_per_minute, 0, "0: no limit");
DEFINE_uint64(weights_load_ms, 0, "duration of one load");
DEFINE_uint64(seed, 1,
              "random seed for the grades and for which of them are missing");
DEFINE_uint64(threads, 4, "number of threads in the pool");

namespace {

using namespace cowslipridge;
using namespace cowslipridge::standins;

core::Millis millis(std::uint64_t count) {
  return core::Millis(static_cast<std::int64_t>(count));
}

/// Opens stand-ins at the addresses given by flags.
class Launcher {
public:
  /// Opens `service` at `address`; does nothing if `address` is empty. Returns
  /// false if the address is invalid or cannot be opened.
  bool open(const std::string &address, std::shared_ptr<StandIn> service) {
    if (address.empty())
      return true;
    const auto colon = address.rfind(':');
    std::uint16_t port = 0;
    if (colon != std::string::npos)
      std::from_chars(address.data() + colon + 1,
                      address.data() + address.size(), port);
    if (port == 0) {
      std::cerr << "invalid address (expected ADDR:PORT): " << address << "\n";
      return false;
    }
    auto host = std::make_unique<Host>(address.substr(0, colon), port, Timer,
                                       std::move(service));
    if (const auto ec = host->open()) {
      std::cerr << "cannot listen at " << address << ": " << ec.message()
                << "\n";
      return false;
    }
    std::cout << "listening at " << address << std::endl;
    Hosts.push_back(std::move(host));
    return true;
  }

  [[nodiscard]] bool empty() const { return Hosts.empty(); }
  [[nodiscard]] const std::shared_ptr<Scheduler> &timer() const {
    return Timer;
  }

private:
  std::shared_ptr<Scheduler> Timer = std::make_shared<Scheduler>();
  std::vector<std::unique_ptr<Host>> Hosts;
};

/// Parses a list of the form `a=0.6,b=0.9`. Returns nullopt if it is malformed.
std::optional<std::map<std::string, double>>
parseModels(const std::string &text) {
  std::map<std::string, double> models;
  std::istringstream in(text);
  std::string item;
  while (std::getline(in, item, ',')) {
    const auto equals = item.find('=');
    if (equals == std::string::npos || equals == 0)
      return std::nullopt;
    char *end = nullptr;
    const std::string number = item.substr(equals + 1);
    const double quality = std::strtod(number.c_str(), &end);
    if (number.empty() || *end != '\0' || quality < 0 || quality > 1)
      return std::nullopt;
    models[item.substr(0, equals)] = quality;
  }
  return models;
}

bool openRunner(Launcher &launcher) {
  const auto models = parseModels(FLAGS_runner_models);
  if (!models) {
    std::cerr << "invalid list of models (expected NAME=QUALITY,...): "
              << FLAGS_runner_models << "\n";
    return false;
  }
  ModelRunnerSettings settings;
  settings.Name = FLAGS_runner_name;
  settings.Models = *models;
  settings.TokensPerSecond = FLAGS_runner_tokens_per_second;
  settings.PrefillPerThousandTokens = millis(FLAGS_runner_prefill_ms);
  settings.Slots = FLAGS_runner_slots;
  settings.CacheBlocks = FLAGS_runner_cache_blocks;
  settings.ChecksFencing = FLAGS_runner_checks_fencing;
  settings.RatingsAddress = FLAGS_runner_ratings;
  settings.WeightsAddress = FLAGS_runner_weights;
  settings.Seed = FLAGS_seed;
  return launcher.open(
      FLAGS_runner, std::make_shared<ModelRunner>(settings, launcher.timer()));
}

bool openStore(Launcher &launcher) {
  KeyValueSettings settings;
  settings.ReadsPerSecond = static_cast<unsigned>(FLAGS_store_reads_per_second);
  settings.WritesPerSecond =
      static_cast<unsigned>(FLAGS_store_writes_per_second);
  return launcher.open(
      FLAGS_store, std::make_shared<KeyValueStore>(settings, launcher.timer()));
}

bool openRatings(Launcher &launcher) {
  const RatingSettings settings = {millis(FLAGS_ratings_delay_ms),
                                   FLAGS_ratings_missing, FLAGS_seed};
  return launcher.open(FLAGS_ratings, std::make_shared<RatingService>(
                                          settings, launcher.timer()));
}

bool openWeights(Launcher &launcher) {
  const WeightSettings settings = {
      static_cast<unsigned>(FLAGS_weights_per_minute),
      millis(FLAGS_weights_load_ms)};
  return launcher.open(FLAGS_weights, std::make_shared<WeightServer>(
                                          settings, launcher.timer()));
}

bool openAll(Launcher &launcher) {
  return openRunner(launcher) &&
         launcher.open(FLAGS_plain,
                       std::make_shared<PlainService>(
                           millis(FLAGS_plain_delay_ms), launcher.timer())) &&
         openStore(launcher) &&
         launcher.open(FLAGS_instances,
                       std::make_shared<InstanceRegistry>(
                           millis(FLAGS_instances_lag_ms), launcher.timer())) &&
         openRatings(launcher) && openWeights(launcher);
}

} // namespace

int main(int argc, char **argv) {
  gflags::SetUsageMessage(
      "Stand-ins for the platform's services and for backend servers.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);

  // Block the signals before any thread starts, so that only sigwait() receives
  // them.
  sigset_t stopSignals;
  sigemptyset(&stopSignals);
  sigaddset(&stopSignals, SIGTERM);
  sigaddset(&stopSignals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stopSignals, nullptr);

  http::initializeThreadPool(FLAGS_threads);
  Launcher launcher;
  if (!openAll(launcher))
    return 1;
  if (launcher.empty()) {
    std::cerr << "no stand-in to run: give at least one address, see --help\n";
    return 1;
  }
  std::cout << "ready" << std::endl;
  int signal = 0;
  sigwait(&stopSignals, &signal);
  return 0;
}
