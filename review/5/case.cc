// The operator allows heads of 128 KiB, and clients send heads of 100 KB.
#include "../lib/standins.h"

namespace {

using namespace review;

constexpr long long ContactMs = 3'000; ///< contactMs of the sheet
constexpr int LargestHead = 131'072;   ///< maxHeaderBytes of the configuration
constexpr int RouteTimeoutMs = 1'000;  ///< timeoutMs of the route
constexpr long long AnswerSlackMs = 500;
constexpr int DeadlineMs = 4'000;
constexpr int Requests = 10;
constexpr int FieldBytes = 1'000;
constexpr int LargeFields = 95; ///< a head of less than 100,000 bytes
constexpr int SmallFields = 10;
constexpr int HeaderTimeoutMs = 3'000;

/// Processor time of a process, in clock ticks.
long cpuTicks(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(file)), {});
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string field;
  long ticks = 0;
  for (int n = 0; n < 13 && fields >> field; ++n) {
    if (n >= 11)
      ticks += std::stol(field);
  }
  return ticks;
}

double cpuShareOver(pid_t pid, long long millis) {
  const long before = cpuTicks(pid);
  sleepMs(millis);
  const double seconds = static_cast<double>(cpuTicks(pid) - before) /
                         static_cast<double>(sysconf(_SC_CLK_TCK));
  return seconds * 1'000 / static_cast<double>(millis);
}

/// Sends one request and returns whether its answer came within the timeout of
/// its route and half a second.
bool isAnswered(Record &log, int number, int port, int fields) {
  std::string head;
  for (int n = 0; n < fields; ++n)
    head += "X-Note-" + std::to_string(n) + ": " +
            std::string(FieldBytes, 'n') + "\r\n";
  const std::string id = "read-" + std::to_string(number);
  const std::string bytes =
      requestBytes("GET", "/read/x", id, DeadlineMs, "", head);
  const int fd = connectTo(port);
  if (fd < 0)
    return false;
  sendAll(fd, bytes);
  const long long sentAt = nowMs();
  log.line("client: sent " + id + ", a head of " +
           std::to_string(bytes.size()) + " bytes");
  Reader reader(fd);
  Message answer;
  const bool whole =
      reader.read(answer, false, RouteTimeoutMs + AnswerSlackMs);
  log.line("client: " + id + " has " +
           (whole ? answer.First
                  : std::string(reader.ended() ? "a closed connection"
                                               : "no answer")) +
           " after " + std::to_string(nowMs() - sentAt) + " ms");
  close(fd);
  return whole;
}

int play(Record &log) {
  const TempFolder folder;
  Store store(log);
  Json allowed = configuration();
  allowed["limits"]["maxHeaderBytes"] = LargestHead;
  store.put("op/config", allowed.dump());
  Runner runner(log, store, "i-desk-1", "clubdesk");
  runner.enter();
  Gateway gateway(log, "edge-1", {}, store.port(), folder.path());
  gateway.start();
  sleepMs(ContactMs + 500);

  log.line("processor share of the gateway before: " +
           std::to_string(cpuShareOver(gateway.pid(), 1'000)));
  const int fields = withTrouble() ? LargeFields : SmallFields;
  std::atomic<int> answered{0};
  std::vector<std::thread> clients;
  for (int n = 0; n < Requests; ++n)
    clients.emplace_back([&, n] {
      answered +=
          isAnswered(log, n, gateway.ports().Callers, fields) ? 1 : 0;
    });
  for (std::thread &it : clients)
    it.join();
  // The clients have left; the time for a head has passed for all of them.
  sleepMs(HeaderTimeoutMs + 1'000);
  log.line("processor share of the gateway, after all clients have left: " +
           std::to_string(cpuShareOver(gateway.pid(), 2'000)));
  log.line("answered in time: " + std::to_string(answered) + " of " +
           std::to_string(Requests));
  return answered * 2 < Requests ? RuleBroken : RuleHeld;
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 2)
    return CouldNotRun;
  std::signal(SIGPIPE, SIG_IGN);
  try {
    Record log(argv[1]);
    const int result = play(log);
    log.line(result == RuleBroken ? "result: CONFIG is broken"
                                  : "result: CONFIG held");
    return result;
  } catch (const std::exception &) {
    return CouldNotRun;
  }
}
