// An operator orders a new version, and a second later the old one again, before
// the roll-out is decided. How many requests does the new version get?
#include "../lib/standins.h"

namespace {

using namespace review;

constexpr long long ContactMs = 3'000;      ///< contactMs of the sheet
constexpr double ExposureFraction = 0.15;   ///< of the sheet
constexpr double ExposureAllowance = 30;    ///< of the sheet
constexpr long long RollbackMs = 5'000;     ///< rollbackMs of the sheet
constexpr std::size_t CountedAnswers = 50;  ///< bad answers until RollbackMs
constexpr long long DurationS = 24;         ///< of each roll-out
constexpr long long TakenBackAfterMs = 1'000;
constexpr int RunnersOfAVersion = 4;
constexpr int FailedPart = 50; ///< of 100 answers of the bad version
constexpr int ClientThreads = 12;
constexpr long long PauseMs = 180; ///< between two requests of a client
constexpr int DeadlineMs = 1'000;

/// The bad answers of all runners of the bad version.
struct BadAnswers {
  std::mutex Guard;
  std::vector<long long> At;
};

/// Sends unsafe requests, one after the other, each on a new connection.
void runClient(Record &log, int number, int port,
               const std::atomic<bool> &stopped) {
  for (int n = 1; !stopped; ++n) {
    const std::string id =
        "client" + std::to_string(number) + "-" + std::to_string(n);
    const int fd = connectTo(port);
    if (fd >= 0) {
      log.line("client: sends " + id);
      sendAll(fd, requestBytes("POST", "/post/" + id, id, DeadlineMs, id));
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

/// Fails a part of the requests after it has worked on them.
bool failOrAnswer(Record &log, BadAnswers &bad, Runner &runner,
                  const Message &head, Reader &reader, int fd) {
  static std::atomic<unsigned> count{0};
  Message request = head;
  if (!reader.readBody(request, true, 10'000))
    return false;
  runner.countRun(request);
  sleepMs(runner.WorkMs);
  const bool fails = (++count * 37) % 100 < FailedPart;
  if (!fails)
    return sendAll(fd, response(200, runner.answerHead(request), "done"));
  log.line("runner " + runner.id() + ": fails " + request.field("Attempt-Id"));
  {
    const std::lock_guard lock(bad.Guard);
    bad.At.push_back(nowMs());
  }
  return sendAll(fd, response(500, runner.answerHead(request), "failed"));
}

using Runners = std::vector<std::unique_ptr<Runner>>;

Runners makeRunners(Record &log, Store &store, const std::string &version) {
  Runners made;
  for (int n = 0; n < RunnersOfAVersion; ++n)
    made.push_back(std::make_unique<Runner>(
        log, store, "i-desk-" + version + "-" + std::to_string(n), "clubdesk",
        version));
  return made;
}

void order(Store &store, const std::string &version) {
  store.put("op/rollout/clubdesk", Json{{"service", "clubdesk"},
                                        {"target", version},
                                        {"durationS", DurationS}}
                                       .dump());
}

std::size_t countArrivals(const Runners &runners, long long from,
                          long long until) {
  std::size_t count = 0;
  for (const auto &runner : runners) {
    for (const auto &[id, at] : runner->runs())
      count += at >= from && at <= until ? 1 : 0;
  }
  return count;
}

int play(Record &log) {
  const TempFolder folder;
  Store store(log);
  store.put("op/config", configuration().dump());
  BadAnswers bad;
  const Runners old = makeRunners(log, store, "v1");
  const Runners worse = makeRunners(log, store, "v2");
  for (const auto &it : worse)
    it->Respond = [&](Runner &runner, const Message &head, Reader &reader,
                      int fd) {
      return failOrAnswer(log, bad, runner, head, reader, fd);
    };
  for (const auto &it : old)
    it->enter();
  Gateway first(log, "edge-1", {}, store.port(), folder.path());
  Gateway second(log, "edge-2", {}, store.port(), folder.path());
  first.start();
  second.start();

  std::atomic<bool> stopped{false};
  std::vector<std::thread> clients;
  for (int n = 0; n < ClientThreads; ++n) {
    const int port = (n % 2 == 0 ? first : second).ports().Callers;
    clients.emplace_back([&, n, port] { runClient(log, n, port, stopped); });
  }
  sleepMs(ContactMs + 1'000);
  const long long orderedAt = nowMs();
  order(store, "v2");
  for (const auto &it : worse)
    it->enter();
  sleepMs(TakenBackAfterMs);
  if (withTrouble())
    order(store, "v1");
  const long long deadline = orderedAt + DurationS * 1'000;
  sleepMs(deadline - nowMs());
  stopped = true;
  for (std::thread &it : clients)
    it.join();

  const std::size_t exposed = countArrivals(worse, orderedAt, deadline);
  const std::size_t all = exposed + countArrivals(old, orderedAt, deadline);
  const double allowed =
      ExposureFraction * static_cast<double>(all) + ExposureAllowance;
  std::size_t late = 0;
  if (bad.At.size() >= CountedAnswers)
    late = countArrivals(worse, bad.At[CountedAnswers - 1] + RollbackMs,
                         deadline);
  log.line("requests that reached clubdesk from the first order to its "
           "deadline: " +
           std::to_string(all) + "; v2 got " + std::to_string(exposed) +
           ", allowed are " + std::to_string(allowed));
  log.line("bad answers of v2: " + std::to_string(bad.At.size()) +
           "; requests that it got later than rollbackMs after the 50th: " +
           std::to_string(late));
  log.line("status/rollout/clubdesk at the end: " +
           store.get("status/rollout/clubdesk").value_or("none"));
  return static_cast<double>(exposed) > allowed || late > 0 ? RuleBroken
                                                            : RuleHeld;
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 2)
    return CouldNotRun;
  std::signal(SIGPIPE, SIG_IGN);
  try {
    Record log(argv[1]);
    const int result = play(log);
    log.line(result == RuleBroken ? "result: EXPOSURE is broken"
                                  : "result: EXPOSURE held");
    return result;
  } catch (const std::exception &) {
    return CouldNotRun;
  }
}
