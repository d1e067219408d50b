#pragma once

#include <atomic>
#include <cstdint>
#include <thread>
#include <vector>

namespace cowslipridge::bench {

/// Calls `runOne(seed)` for seeds 1 to `count` on `threads` threads; returns
/// the results in the order of the seeds.
template <typename RunOne>
auto runSeeds(std::uint64_t count, unsigned threads, RunOne runOne) {
  std::vector<decltype(runOne(std::uint64_t()))> results(count);
  std::atomic<std::uint64_t> next = 0;
  std::vector<std::thread> workers;
  workers.reserve(threads);
  for (unsigned n = 0; n < threads; ++n) {
    workers.emplace_back([&] {
      for (std::uint64_t i = next++; i < count; i = next++)
        results[i] = runOne(i + 1);
    });
  }
  for (std::thread &worker : workers)
    worker.join();
  return results;
}

} // namespace cowslipridge::bench
