#include "soak/Fleet.hpp"
#include "soak/Promises.hpp"
#include "soak/RetryBudgets.hpp"
#include "soak/Roles.hpp"
#include "soak/platform/Callers.hpp"
#include "soak/platform/Crowds.hpp"

#include "cowslipridge/core/Clock.hpp"

#include <gflags/gflags.h>

#include <csignal>
#include <filesystem>
#include <iostream>
#include <map>
#include <sstream>

DEFINE_string(role, "",
              "store, runner or proxy: a stand-in of a run; "
              "empty: the run itself");
DEFINE_uint64(seed, 1, "seed of the plan of faults and of the load");
DEFINE_uint64(duration, 20, "time in which faults begin, in seconds");
DEFINE_uint64(gateways, 3, "number of gateways");
DEFINE_uint64(runners, 3, "number of runners of each of the two services");
DEFINE_uint32(max_attempts, 2, "of each route");
DEFINE_uint64(callers, 6, "number of callers of each gateway");
DEFINE_uint64(pause, 60, "longest pause of a caller between requests in ms");
DEFINE_uint64(fault_gap, 700, "mean time between two faults in ms");
DEFINE_bool(alike, false, "all requests of a kind ask for the same");
DEFINE_bool(crowds, true,
            "callers that misbehave, copied refusals and runners that take "
            "over an address are part of the run");
DEFINE_bool(broken_answers, true,
            "runners send answers that are none; false, or no crowds: the plan "
            "of a seed is the one of the time before");
DEFINE_bool(service_faults, false,
            "all runners of a service deviate or stand still at once");
DEFINE_int64(memory_limit, cowslipridge::soak::GatewayMemoryKiB,
             "of a gateway, in KiB; 0: not checked");
DEFINE_string(gateway, "", "path of the program cowslipridge-gateway");
DEFINE_string(folder, "", "for logs; a new temporary one if empty");
DEFINE_string(listen, "", "of a stand-in: ADDR:PORT");
DEFINE_string(control, "", "of a stand-in: ADDR:PORT for commands");
DEFINE_string(store_control, "", "of a runner: ADDR:PORT of the store's");
DEFINE_string(advertised, "", "of a runner: ADDR:PORT in its entry");
DEFINE_string(id, "", "of a runner");
DEFINE_string(service, "", "of a runner");
DEFINE_bool(streams, false, "of a runner: whether it answers with streams");
DEFINE_string(journal, "", "of a runner: file for what it runs");
DEFINE_string(links, "", "of a proxy: ADDR:PORT>ADDR:PORT,...");

namespace {

using namespace cowslipridge;
using namespace cowslipridge::soak;

constexpr core::Millis WatchInterval{100};
constexpr core::Millis StandInStartTime{1'000};
constexpr core::Millis GatewayStartTime{2'000};
constexpr core::Millis LastAnswerTime{4'000};
/// Time at the end of a run in which requests must be served again.
constexpr core::Millis JudgedTime{3'000};

std::vector<Link> parseLinks(const std::string &text) {
  std::vector<Link> links;
  std::istringstream in(text);
  std::string item;
  while (std::getline(in, item, ',')) {
    const std::size_t arrow = item.find('>');
    links.push_back({item,
                     {},
                     parseEndpoint(item.substr(0, arrow)),
                     parseEndpoint(item.substr(arrow + 1))});
  }
  return links;
}

int runStandIn() {
  if (FLAGS_role == "store")
    return run(
        StoreRole{parseEndpoint(FLAGS_listen), parseEndpoint(FLAGS_control)});
  if (FLAGS_role == "proxy")
    return run(
        ProxyRole{parseEndpoint(FLAGS_control), parseLinks(FLAGS_links)});
  if (FLAGS_role != "runner") {
    std::cerr << "unknown role: " << FLAGS_role << "\n";
    return 2;
  }
  RunnerRole role;
  role.Place.Id = FLAGS_id;
  role.Place.Service = FLAGS_service;
  role.Place.Streams = FLAGS_streams;
  role.Place.Listen = parseEndpoint(FLAGS_listen);
  role.Place.Control = parseEndpoint(FLAGS_control);
  role.Advertised = parseEndpoint(FLAGS_advertised);
  role.StoreControl = parseEndpoint(FLAGS_store_control);
  role.Journal = FLAGS_journal;
  return run(role);
}

/// One run: starts everything, applies the plan, and checks the promises.
class Run {
public:
  explicit Run(std::string folder)
      : Folder(std::move(folder)),
        Places(makeLayout({FLAGS_gateways, FLAGS_runners, FLAGS_runners,
                           FLAGS_max_attempts})),
        Processes(Loop, Clock, Places,
                  {std::filesystem::read_symlink("/proc/self/exe").string(),
                   FLAGS_gateway, Folder}),
        Load(Loop, Clock, Places,
             {FLAGS_callers,
              core::Millis(static_cast<std::int64_t>(FLAGS_pause)), FLAGS_seed,
              FLAGS_alike, FLAGS_crowds},
             Seen) {
    Limits.MemoryKiB = FLAGS_memory_limit;
    Limits.MaxAttempts = FLAGS_max_attempts;
  }

  int execute() {
    std::cout << "seed " << FLAGS_seed << ", logs in " << Folder << "\n";
    Processes.startStandIns();
    pass(StandInStartTime);
    Processes.publishConfiguration();
    pass(StandInStartTime);
    Processes.startGateways();
    pass(GatewayStartTime);
    Load.start();
    applyPlan();
    Load.stop();
    pass(LastAnswerTime);
    Processes.stop(Seen);
    return report();
  }

private:
  // Runs the loop for this time and watches the processes.
  void pass(core::Millis length) { passUntil(Clock.monotonic() + length); }

  void passUntil(core::Millis end) {
    while (Clock.monotonic() < end) {
      const core::Millis step =
          std::min(WatchInterval, end - Clock.monotonic());
      Loop.restart();
      Loop.run_for(
          std::chrono::milliseconds(std::max<std::int64_t>(1, step.count())));
      Processes.watch(Seen);
    }
  }

  void applyPlan() {
    PlanSettings settings;
    settings.Seed = FLAGS_seed;
    settings.Duration =
        core::Millis(static_cast<std::int64_t>(FLAGS_duration * 1'000));
    settings.MeanGap = core::Millis(static_cast<std::int64_t>(FLAGS_fault_gap));
    settings.Gateways = Places.Gateways.size();
    settings.Runners = Places.Runners.size();
    settings.Links = Places.Links.size();
    settings.ServiceFaults = FLAGS_service_faults;
    settings.BrokenAnswers = FLAGS_crowds && FLAGS_broken_answers;
    settings.CrowdKinds = FLAGS_crowds ? countCrowdKinds() : 0;
    Origin = Clock.monotonic();
    Seen.FaultsEndedAt = Origin;
    for (const PlannedFault &it : makePlan(settings)) {
      passUntil(Origin + it.At);
      std::cout << sinceOrigin(Clock.monotonic()) << describe(it.What)
                << std::endl;
      Processes.apply(it.What);
      ++FaultCount;
      for (const std::string &subject : Processes.subjectsOf(it.What))
        Seen.Faults.push_back({Clock.monotonic(),
                               Clock.monotonic() + lengthOf(it.What), subject});
      Seen.FaultsEndedAt =
          std::max(Seen.FaultsEndedAt, Clock.monotonic() + lengthOf(it.What));
    }
    passUntil(Seen.FaultsEndedAt + Limits.Recovery + JudgedTime);
  }

  [[nodiscard]] std::string sinceOrigin(core::Millis at) const {
    return std::to_string((at - Origin).count()) + " ms: ";
  }

  int report() const {
    const auto violations = findViolations(Seen, Limits);
    std::map<std::string, std::size_t> byRule;
    for (const Violation &it : violations) {
      if (byRule[it.Rule]++ < MaxShown)
        std::cout << it.Rule << " at " << sinceOrigin(it.At) << it.Detail
                  << "\n";
    }
    std::size_t served = 0;
    for (const CallerAttempt &it : Seen.Attempts)
      served += it.Status == 200 && it.Answer == AnswerState::Whole ? 1 : 0;
    std::cout << "seed " << FLAGS_seed << ": " << Seen.Attempts.size()
              << " requests, " << served << " served, " << FaultCount
              << " faults, memory";
    for (const MemoryPeak &it : Seen.Memory)
      std::cout << " " << it.KiB;
    std::cout << " KiB, " << violations.size() << " violations";
    for (const auto &[rule, count] : byRule)
      std::cout << ", " << rule << " " << count;
    std::cout << "\n";
    for (const FullestWindow &it : fullestWindows(Seen, Limits))
      std::cout << it.Service << ": at most " << it.Repeats << " repeats of "
                << it.Allowed << " allowed in a window, " << it.Requests
                << " requests\n";
    std::cout << std::flush;
    return violations.empty() ? 0 : 1;
  }

  static constexpr std::size_t MaxShown = 5;

  std::string Folder;
  boost::asio::io_context Loop{1};
  core::SystemClock Clock;
  Layout Places;
  History Seen;
  PromiseLimits Limits;
  Fleet Processes;
  Callers Load;
  core::Millis Origin;
  std::size_t FaultCount = 0;
};

} // namespace

int main(int argc, char **argv) {
  gflags::SetUsageMessage(
      "Runs gateways under faults that are drawn from a seed, and checks what "
      "callers and runners see.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::signal(SIGPIPE, SIG_IGN);
  if (!FLAGS_role.empty())
    return runStandIn();
  if (FLAGS_gateway.empty() || FLAGS_gateways == 0 || FLAGS_runners == 0) {
    std::cerr << "--gateway, --gateways and --runners are needed\n";
    return 2;
  }
  std::string folder = FLAGS_folder;
  if (folder.empty()) {
    std::string name =
        (std::filesystem::temp_directory_path() / "soak-XXXXXX").string();
    folder = ::mkdtemp(name.data());
  }
  return Run(folder).execute();
}
