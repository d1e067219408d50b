#pragma once

#include "Caller.hpp"
#include "Cluster.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace cowslipridge::integration {

/// A stand-in for the platform's load balancer: round robin over the entries
/// whose last /readyz probe returned 200.
class Balancer {
public:
  explicit Balancer(std::vector<std::string> bases);
  ~Balancer();
  Balancer(const Balancer &) = delete;
  Balancer &operator=(const Balancer &) = delete;

  /// Returns the next ready entry, or nothing if no entry is ready.
  std::optional<std::string> next();

private:
  struct Backend {
    std::string Base;
    std::unique_ptr<Caller> Probe;
    std::atomic<bool> Ready = true;
  };

  void run();

  std::vector<std::unique_ptr<Backend>> Backends;
  std::atomic<std::uint64_t> NextIndex = 0;
  std::atomic<bool> Stopping = false;
  std::thread Worker;
};

/// A call that returned no complete answer.
struct LoadFailure {
  std::string Base;
  CallResult Result;
};

/// Concurrent callers that send requests through a balancer, one after another,
/// and check that each gets the complete answer to its own request.
class Load {
public:
  Load(Balancer &balancer, std::size_t callers, ChatOptions options,
       std::string key);
  ~Load();
  Load(const Load &) = delete;
  Load &operator=(const Load &) = delete;

  /// Stops the callers after their calls in flight.
  void stop();
  [[nodiscard]] std::uint64_t answered() const { return Answered; }
  [[nodiscard]] std::vector<LoadFailure> failures() const;

private:
  void run();
  void callOnce();

  Balancer &Entries;
  ChatOptions Options;
  std::string Key;
  std::atomic<bool> Stopping = false;
  std::atomic<std::uint64_t> Answered = 0;
  mutable std::mutex Mutex;
  std::vector<LoadFailure> Failures;
  std::vector<std::thread> Workers;
};

/// Returns whether `result` is the complete answer, of `tokens` tokens, to the
/// request that its header names.
bool isCompleteAnswer(const CallResult &result, int tokens);

} // namespace cowslipridge::integration
