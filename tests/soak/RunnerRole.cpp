#include "soak/Control.hpp"
#include "soak/History.hpp"
#include "soak/RoleProcess.hpp"
#include "soak/Roles.hpp"

#include "cowslipridge/http1/LoopTimer.hpp"
#include "standins/platform/PlainRunner.hpp"
#include "standins/platform/StreamingRunner.hpp"

#include <fcntl.h>
#include <memory>
#include <unistd.h>

namespace cowslipridge::soak {

namespace {

using namespace standins::platform;

constexpr core::Millis HeartbeatInterval{600};
constexpr core::Millis ServiceTime{15};
constexpr core::Millis EventInterval{40};
constexpr std::size_t Slots = 24;
constexpr mode_t JournalMode = 0600;

RunnerTraits traitsOf(const RunnerPlace &place) {
  RunnerTraits traits;
  traits.Id = place.Id;
  traits.Service = place.Service;
  traits.Slots = Slots;
  traits.MaxQueueLength = Slots;
  traits.ServiceTime = ServiceTime;
  traits.Events = EventsOfAStream;
  traits.EventInterval = EventInterval;
  return traits;
}

/// A runner, its heartbeats and its journal.
class RunnerProcess {
public:
  RunnerProcess(boost::asio::io_context &loop, const RunnerRole &role)
      : Role(role), Journal(::open(role.Journal.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, JournalMode)),
        Store(loop, Clock), Ticker(loop),
        Commands(loop, Clock, role.Place.Control,
                 {{"/deviate", [this](const json &it) { deviate(it); }}}) {
    if (role.Place.Streams)
      Runner =
          std::make_unique<StreamingRunner>(loop, Clock, traitsOf(role.Place));
    else
      Runner = std::make_unique<PlainRunner>(loop, Clock, traitsOf(role.Place));
    Runner->setStepListener(
        [this](const RequestStepReport &it) { record(it); });
    Runner->listen(role.Place.Listen);
    beat();
  }
  ~RunnerProcess() { ::close(Journal); }
  RunnerProcess(const RunnerProcess &) = delete;
  RunnerProcess &operator=(const RunnerProcess &) = delete;

private:
  // Written at once, so that a kill loses nothing.
  void record(const RequestStepReport &report) const {
    const std::string line = formatStep(Clock.monotonic(), report);
    [[maybe_unused]] const ssize_t n =
        ::write(Journal, line.data(), line.size());
  }

  void deviate(const json &it) {
    RunnerTraits &traits = Runner->traits();
    traits.Deviates = parseDeviation(it.value("what", ""));
    if (traits.Deviates && needsStream(*traits.Deviates) && !Role.Place.Streams)
      traits.Deviates = Deviation::EndlessBody;
    traits.DeviatesEvery = it.value("every", 1U);
  }

  void beat() {
    json entry = json::parse(Runner->entry("available"));
    entry["address"] = text(Role.Advertised);
    Store.send(Role.StoreControl, "/heartbeat",
               {{"key", "servers/" + Role.Place.Id}, {"value", entry.dump()}});
    Ticker.start(HeartbeatInterval, [this] { beat(); });
  }

  const RunnerRole &Role;
  core::SystemClock Clock;
  int Journal;
  std::unique_ptr<PlatformRunner> Runner;
  ControlClient Store;
  http1::LoopTimer Ticker;
  ControlServer Commands;
};

} // namespace

int run(const RunnerRole &role) { return runProcess<RunnerProcess>(role); }

} // namespace cowslipridge::soak
