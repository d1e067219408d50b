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

/// Stands for the platform's balancer: hands out entries whose /readyz answered
/// 200 when it last looked.
class Balancer {
public:
  explicit Balancer(std::vector<std::string> bases);
  ~Balancer();
  Balancer(const Balancer &) = delete;
  Balancer &operator=(const Balancer &) = delete;

  /// The next ready entry in turn, or nothing when none is.
  std::optional<std::string> next();

private:
  struct Backend {
    std::string Base;
    std::unique_ptr<Caller> Probe;
    std::atomic<bool> Ready = true;
  };

  void run();

  std::vector<std::unique_ptr<Backend>> Backends;
  std::atomic<std::uint64_t> Turn = 0;
  std::atomic<bool> Stopping = false;
  std::thread Worker;
};

/// One call of the load that did not end as it should.
struct LoadFailure {
  std::string Base;
  CallResult Result;
};

/// Callers that stream answers one after another through a balancer and check
/// that each is whole and their own.
class Load {
public:
  Load(Balancer &balancer, std::size_t callers, ChatOptions options,
       std::string key);
  ~Load();
  Load(const Load &) = delete;
  Load &operator=(const Load &) = delete;

  /// Ends the load after the calls that are under way.
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
  mutable std::mutex Guard;
  std::vector<LoadFailure> Failures;
  std::vector<std::thread> Workers;
};

/// Whether `result` is the whole answer, of `tokens` tokens, to the request
/// that its own header names.
bool isWholeAnswer(const CallResult &result, int tokens);

} // namespace cowslipridge::integration
