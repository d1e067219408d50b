#include "integration/platform/GatewayFixture.hpp"

#include <fstream>

using namespace cowslipridge;
using namespace cowslipridge::integration;

namespace {

/// Returns the largest resident memory of a process so far, in KiB.
long peakMemoryKib(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string word;
  long kib = 0;
  while (status >> word) {
    if (word == "VmHWM:")
      status >> kib;
  }
  return kib;
}

// Guards against a gateway that exceeds its memory while it holds less than
// half of that in bodies, because it copies each of them.
TEST_F(GatewayTest, holdsEachBodyOnce) {
  constexpr std::size_t BodyBytes = 4UL * 1024 * 1024;
  constexpr std::size_t Requests = 12;
  constexpr long BytesPerKib = 1024;
  PlainRunner &runner = addPlainRunner("desk-1");
  runner.traits().Slots = Requests;
  runner.traits().ServiceTime = core::Millis(60'000);
  configure();
  startAndAwaitReady();
  const long before = peakMemoryKib(Gateway->pid());
  const std::string body(BodyBytes, 'x');
  for (std::size_t n = 0; n < Requests; ++n)
    sendRequest(Callers, request("POST", "/post/a",
                                 "Content-Length: " +
                                     std::to_string(BodyBytes) + "\r\n") +
                             body);
  runUntil([&] { return runner.active() == Requests; });
  constexpr long Held = Requests * BodyBytes / BytesPerKib;
  EXPECT_LT(peakMemoryKib(Gateway->pid()) - before, Held * 3 / 2);
}

} // namespace
