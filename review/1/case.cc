// Three of twelve runners crash while streams are on their way; another one fails
// part of its requests. What do the clients of the resumed streams get?
#include "../lib/standins.h"

namespace {

using namespace review;

constexpr long long ContactMs = 3'000; ///< contactMs of the sheet
constexpr int RunnerCount = 12;
constexpr int CrashingRunners = 3; ///< share 0.25
constexpr int FailingRunners = 1;  ///< share 0.15, rounded down
constexpr int FailedPart = 40;     ///< of 100 requests: x 0.4
constexpr long long HeartbeatsUntilRemoval = 3;
constexpr long long HeartbeatMs = 1'200;
constexpr int Clients = 640;
constexpr int Events = 20;
constexpr long long EventIntervalMs = 150;
constexpr int DeadlineMs = 12'000;

std::string eventText(const std::string &id, int number) {
  return "id: " + std::to_string(number) + "\ndata: " + id + " part " +
         std::to_string(number) + "\n\n";
}

bool sendChunk(int fd, const std::string &text) {
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return sendAll(fd, size + text + "\r\n");
}

/// Streams the events after Last-Event-Id.
bool stream(Runner &runner, const Message &head, Reader &reader, int fd) {
  Message request = head;
  if (!reader.readBody(request, true, 10'000))
    return false;
  runner.countRun(request);
  const std::string id = request.field("Attempt-Id");
  if (!sendAll(fd, "HTTP/1.1 200 OK\r\n" + runner.answerHead(request) +
                       "Content-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n"))
    return false;
  const int last = std::atoi(request.field("Last-Event-Id").c_str());
  for (int n = last + 1; n <= Events; ++n) {
    sleepMs(EventIntervalMs);
    if (!sendChunk(fd, eventText(id, n)))
      return false;
  }
  return sendAll(fd, "0\r\n\r\n");
}

/// Fails a part of the requests, by their ids.
bool failOrStream(Record &log, Runner &runner, const Message &head,
                  Reader &reader, int fd) {
  static std::atomic<unsigned> count{0};
  if ((++count * 61) % 100 >= FailedPart)
    return stream(runner, head, reader, fd);
  Message request = head;
  if (!reader.readBody(request, true, 10'000))
    return false;
  const std::string id = request.field("Attempt-Id");
  log.line("runner " + runner.id() + ": fails " + id + " (Last-Event-Id '" +
           request.field("Last-Event-Id") + "') with 404");
  return sendAll(fd, response(404, runner.answerHead(request),
                              "{\"error\":\"the model is not loaded\"}\n"));
}

/// What the clients saw.
struct Findings {
  std::atomic<int> Complete{0};
  std::atomic<int> BrokenOff{0};
  std::atomic<int> Failed{0};
  std::atomic<int> Wrong{0};
};

/// Sends one stream after the other, on one connection while it is kept.
void runClient(Record &log, int number, int port, Findings &findings,
               const std::atomic<bool> &stopped) {
  sleepMs(number * 5);
  for (int n = 1; !stopped; ++n) {
    const std::string id =
        "draw" + std::to_string(number) + "-" + std::to_string(n);
    const int fd = connectTo(port);
    if (fd < 0)
      return;
    log.line("client: sends " + id);
    sendAll(fd, requestBytes("POST", "/draw/x", id, DeadlineMs, "clubs",
                             "Model-Name: m2\r\nToken-Usage: 400,120\r\n"
                             "Prompt-Prefix: a1:300," +
                                 std::to_string(1'000 + number) + ":100\r\n"));
    Reader reader(fd);
    Message answer;
    const bool whole = reader.read(answer, false, DeadlineMs + 1'000);
    close(fd);
    if (answer.status() != 200) {
      ++findings.Failed;
      log.line("client: " + id + " gets " + answer.First);
      continue;
    }
    if (!whole) {
      ++findings.BrokenOff;
      log.line("client: " + id + " gets a stream that is broken off");
      continue;
    }
    std::string expected;
    for (int it = 1; it <= Events; ++it)
      expected += eventText(id, it);
    if (answer.Body == expected) {
      ++findings.Complete;
      log.line("client: " + id + " gets its whole stream");
      continue;
    }
    ++findings.Wrong;
    const std::size_t from =
        answer.Body.size() > 130 ? answer.Body.size() - 130 : 0;
    log.line("client: " + id +
             " gets 200 and a complete stream that is wrong; its end: " +
             Json(answer.Body.substr(from)).dump());
  }
}

Json configurationWithStreams() {
  Json declared = configuration();
  Json draw = route("season-draw", "/draw/", "streaming", "draftsmen", 3,
                    DeadlineMs, 4'000);
  draw["streamResumption"] = true;
  draw["sessionAffinity"] = true;
  draw["targetGapMs"] = 2'500;
  declared["routes"].push_back(draw);
  declared["services"].push_back(
      {{"name", "draftsmen"},
       {"healthCheckPath", "/health"},
       {"connectionLimit", 360},
       {"inferenceEngine",
        {{"slots", 64},
         {"kvCacheTokens", 575'237},
         {"stride", 6},
         {"models", {{{"name", "m2"}, {"cost", 0.11}}}}}}});
  return declared;
}

int play(Record &log) {
  const TempFolder folder;
  Store store(log);
  store.put("op/config", configurationWithStreams().dump());
  std::vector<std::unique_ptr<Runner>> runners;
  for (int n = 0; n < RunnerCount; ++n) {
    runners.push_back(std::make_unique<Runner>(
        log, store, "i-draft-" + std::to_string(n), "draftsmen"));
    runners.back()->Respond = stream;
  }
  if (withTrouble()) {
    for (int n = 0; n < FailingRunners; ++n)
      runners[n]->Respond = [&log](Runner &runner, const Message &head,
                                   Reader &reader, int fd) {
        return failOrStream(log, runner, head, reader, fd);
      };
  }
  for (const auto &it : runners)
    it->enter();
  Gateway first(log, "edge-1", {}, store.port(), folder.path());
  Gateway second(log, "edge-2", {}, store.port(), folder.path());
  first.start();
  second.start();

  Findings findings;
  std::atomic<bool> stopped{false};
  std::vector<std::thread> clients;
  for (int n = 0; n < Clients; ++n) {
    const int port = (n % 2 == 0 ? first : second).ports().Callers;
    clients.emplace_back(
        [&, n, port] { runClient(log, n, port, findings, stopped); });
  }
  sleepMs(ContactMs + 5'000);
  if (withTrouble()) {
    for (int n = 0; n < CrashingRunners; ++n)
      runners[RunnerCount - 1 - n]->crash();
    sleepMs(HeartbeatsUntilRemoval * HeartbeatMs);
    for (int n = 0; n < CrashingRunners; ++n)
      store.remove("servers/" + runners[RunnerCount - 1 - n]->id());
  }
  sleepMs(4'000);
  stopped = true;
  for (std::thread &it : clients)
    it.join();
  log.line("streams: " + std::to_string(findings.Complete) + " complete, " +
           std::to_string(findings.BrokenOff) + " broken off, " +
           std::to_string(findings.Failed) + " failed or refused, " +
           std::to_string(findings.Wrong) +
           " that end as complete and are not the runner's");
  if (findings.Complete == 0)
    giveUp("no stream was served");
  return findings.Wrong > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 2)
    return CouldNotRun;
  std::signal(SIGPIPE, SIG_IGN);
  try {
    Record log(argv[1]);
    const int result = play(log);
    log.line(result == RuleBroken ? "result: MIXED and ORDER are broken"
                                  : "result: MIXED and ORDER held");
    return result;
  } catch (const std::exception &) {
    return CouldNotRun;
  }
}
