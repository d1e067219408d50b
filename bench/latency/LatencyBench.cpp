// Sends chat requests at a fixed rate, alternately through an entry and
// directly to a runner, and prints the latencies of both as CSV.

#include "LatencyReport.hpp"

#include "cowslipridge/http/Client.hpp"
#include "cowslipridge/http/Server.hpp"

#include <gflags/gflags.h>

#include <chrono>
#include <iostream>
#include <mutex>
#include <thread>

DEFINE_string(entry, "http://127.0.0.1:8080", "base address of the entry");
DEFINE_string(runner, "http://127.0.0.1:7000", "base address of the runner");
DEFINE_string(key, "", "API key for the entry");
DEFINE_string(service, "drafting", "service requested from the entry");
DEFINE_string(engine_model, "",
              "model requested from the runner; default: the service");
DEFINE_double(rate, 200, "requests per second to each target");
DEFINE_int32(seconds, 10, "length of the measurement in seconds");
DEFINE_int32(warmup_seconds, 1, "seconds before the measurement starts");
DEFINE_bool(stream, false, "request streamed responses");
DEFINE_int32(prompt_bytes, 200, "length of the prompt in bytes");

namespace {

using namespace cowslipridge;
using namespace cowslipridge::bench;
using SteadyClock = std::chrono::steady_clock;

constexpr core::Millis Timeout{30'000};
constexpr std::size_t PoolThreads = 4;

double millisSince(SteadyClock::time_point start) {
  const std::chrono::duration<double, std::milli> elapsed =
      SteadyClock::now() - start;
  return elapsed.count();
}

/// Sends requests to one target and collects their latencies.
class Arm {
public:
  Arm(std::string name, const std::string &base, http::Request request)
      : Name(std::move(name)), Target(base, Timeout),
        Message(std::move(request)) {}

  void send(bool counted) {
    const auto start = SteadyClock::now();
    const auto sample = std::make_shared<Sample>();
    http::ResponseEvents events;
    events.OnHead = [sample](int status, const http::Headers &) {
      sample->Failed = status != 200;
    };
    events.OnChunk = [sample, start](const std::string &) {
      if (sample->FirstByteMs == 0)
        sample->FirstByteMs = millisSince(start);
    };
    events.OnEnd = [this, sample, start, counted](std::error_code ec,
                                                  http::SendStage) {
      sample->TotalMs = millisSince(start);
      sample->Failed = sample->Failed || ec;
      const std::lock_guard lock(Mutex);
      --InFlight;
      if (counted)
        Samples.push_back(*sample);
    };
    {
      const std::lock_guard lock(Mutex);
      ++InFlight;
    }
    Target.send(Message, std::move(events));
  }

  void waitForInFlight() {
    constexpr std::chrono::milliseconds PollInterval{5};
    while (true) {
      {
        const std::lock_guard lock(Mutex);
        if (InFlight == 0)
          return;
      }
      std::this_thread::sleep_for(PollInterval);
    }
  }

  [[nodiscard]] ArmReport report(bool firstByte) const {
    return makeReport(Name + (firstByte ? "-first-byte" : "-total"), Samples,
                      firstByte);
  }

private:
  const std::string Name;
  http::Client Target;
  const http::Request Message;
  std::mutex Mutex;
  std::size_t InFlight = 0;
  std::vector<Sample> Samples;
};

http::Request makeRequest(const std::string &model, bool withKey) {
  http::Request request;
  request.Method = "POST";
  request.Target = "/v1/chat/completions";
  request.Fields = {{"Content-Type", "application/json"}};
  if (withKey)
    request.Fields.push_back({"Authorization", "Bearer " + FLAGS_key});
  request.Body = R"({"model":")" + model + R"(","stream":)" +
                 (FLAGS_stream ? "true" : "false") +
                 R"(,"messages":[{"role":"user","content":")" +
                 std::string(FLAGS_prompt_bytes, 'x') + R"("}]})";
  return request;
}

// Open loop: a slow response does not delay the next request.
void runLoad(Arm &direct, Arm &routed) {
  const auto interval = std::chrono::duration_cast<SteadyClock::duration>(
      std::chrono::duration<double>(1.0 / FLAGS_rate));
  const auto begin = SteadyClock::now();
  const auto countFrom = begin + std::chrono::seconds(FLAGS_warmup_seconds);
  const auto end = countFrom + std::chrono::seconds(FLAGS_seconds);
  for (auto next = begin; next < end; next += interval) {
    std::this_thread::sleep_until(next);
    direct.send(next >= countFrom);
    std::this_thread::sleep_until(next + interval / 2);
    routed.send(next >= countFrom);
  }
  direct.waitForInFlight();
  routed.waitForInFlight();
}

void printReports(const Arm &direct, const Arm &routed) {
  std::cout << csvHeader() << "\n";
  for (const bool firstByte : {true, false}) {
    const ArmReport base = direct.report(firstByte);
    const ArmReport through = routed.report(firstByte);
    std::cout << toCsv(base) << "\n" << toCsv(through) << "\n";
    std::cout << "added" << (firstByte ? "-first-byte" : "-total") << ",,,"
              << through.P50 - base.P50 << "," << through.P90 - base.P90 << ","
              << through.P99 - base.P99 << "," << through.Max - base.Max
              << "\n";
  }
}

} // namespace

int main(int argc, char **argv) {
  gflags::SetUsageMessage(
      "compares the latency through an entry with direct calls");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  http::initializeThreadPool(PoolThreads);
  const std::string model =
      FLAGS_engine_model.empty() ? FLAGS_service : FLAGS_engine_model;
  Arm direct("direct", FLAGS_runner, makeRequest(model, false));
  Arm routed("routed", FLAGS_entry, makeRequest(FLAGS_service, true));
  runLoad(direct, routed);
  printReports(direct, routed);
  return 0;
}
