// A waiting watch is cut, and a runner's entry is removed just then: how long
// do the gateways go on sending requests to the runner?
#include "../lib/standins.h"

namespace {

using namespace review;

constexpr long long ContactMs = 3'000; ///< contactMs of the sheet
constexpr long long DrainMs = 2'000;   ///< drainMs of the sheet
constexpr int ClientThreads = 8;
constexpr long long PauseMs = 100; ///< between two requests of a client
constexpr int DeadlineMs = 1'000;

/// Sends unsafe requests, one after the other, each on a new connection.
void runClient(Record &log, int number, int port,
               const std::atomic<bool> &stopped) {
  for (int n = 1; !stopped; ++n) {
    const std::string id =
        "client" + std::to_string(number) + "-" + std::to_string(n);
    const int fd = connectTo(port);
    if (fd >= 0) {
      log.line("client: sends " + id);
      sendAll(fd, requestBytes("POST", "/post/x", id, DeadlineMs, "result"));
      Reader reader(fd);
      Message answer;
      const bool whole = reader.read(answer, false, DeadlineMs + 500);
      log.line("client: " + id + " gets " +
               (whole ? answer.First : std::string("no whole answer")));
      close(fd);
    }
    sleepMs(PauseMs);
  }
}

int play(Record &log) {
  const TempFolder folder;
  Store store(log);
  store.put("op/config", configuration().dump());
  Runner staying(log, store, "i-stays", "clubdesk");
  Runner leaving(log, store, "i-leaves", "clubdesk");
  staying.enter();
  leaving.enter();
  Gateway first(log, "edge-1", {}, store.port(), folder.path());
  Gateway second(log, "edge-2", {}, store.port(), folder.path());
  first.start();
  second.start();

  std::atomic<bool> stopped{false};
  std::vector<std::thread> clients;
  for (int n = 0; n < ClientThreads; ++n) {
    const int port = (n % 2 == 0 ? first : second).ports().Callers;
    clients.emplace_back(
        [&, n, port] { runClient(log, n, port, stopped); });
  }
  // The gateways are in touch from here on: nothing happens to them, to their
  // links or to the store's answers.
  sleepMs(ContactMs + 2'000);
  const std::size_t waiting = store.waitingWatches();
  if (withTrouble())
    store.cutWaitingWatches();
  const long long removedAt = leaving.leaveWithoutNotice();
  sleepMs(DrainMs + 2'000);
  stopped = true;
  for (std::thread &it : clients)
    it.join();

  std::size_t inTime = 0;
  std::size_t late = 0;
  long long last = 0;
  for (const auto &[id, at] : leaving.runs()) {
    if (at > removedAt + DrainMs) {
      ++late;
      log.line("late: " + id + " reached i-leaves " +
               std::to_string(at - removedAt) + " ms after the removal");
    } else if (at > removedAt) {
      ++inTime;
    }
    last = std::max(last, at);
  }
  log.line("watches waiting before: " + std::to_string(waiting));
  log.line("requests that reached i-leaves after the removal: " +
           std::to_string(inTime) + " within drainMs, " +
           std::to_string(late) + " later; the last one " +
           std::to_string(last - removedAt) + " ms after the removal");
  if (staying.runs().empty())
    giveUp("no request was served");
  return late > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 2)
    return CouldNotRun;
  std::signal(SIGPIPE, SIG_IGN);
  try {
    Record log(argv[1]);
    const int result = play(log);
    log.line(result == RuleBroken ? "result: DRAIN is broken"
                                  : "result: DRAIN held");
    return result;
  } catch (const std::exception &) {
    return CouldNotRun;
  }
}
