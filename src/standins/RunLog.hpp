#pragma once

#include "cowslipridge/http/Message.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace cowslipridge::standins {

enum class RunState { Running, Finished, Cancelled };

/// Counts how often each request started to run, so that tests can verify that
/// no request ran twice and that none reported as `not-run` ever ran.
class RunLog {
public:
  void begin(const std::string &request, const std::string &key,
             const std::string &model);
  void end(const std::string &request, RunState state);
  [[nodiscard]] http::Response report() const;

private:
  struct Run {
    std::uint64_t Count = 0;
    RunState State = RunState::Running;
    std::string Model;
  };

  mutable std::mutex Guard;
  std::map<std::string, Run> ByRequest;
  std::map<std::string, std::uint64_t> ByKey;
  std::uint64_t Total = 0;
};

} // namespace cowslipridge::standins
