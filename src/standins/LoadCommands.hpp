#pragma once

#include "cowslipridge/http/Server.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace cowslipridge::standins {

/// Records the load commands that an engine accepted. With fencing checks it
/// rejects a command whose fencing number is lower than the highest accepted.
class LoadCommands {
public:
  explicit LoadCommands(bool checksFencing) : ChecksFencing(checksFencing) {}

  /// Records the command and returns true, or returns false when the request's
  /// Fencing-Number is too old.
  bool accept(const http::Request &request, const std::string &model);
  [[nodiscard]] http::Response report() const;

private:
  bool ChecksFencing;
  mutable std::mutex Guard;
  std::uint64_t HighestFence = 0;
  /// Maps a model to the fencing number of its last accepted command.
  std::map<std::string, std::uint64_t> Accepted;
  std::uint64_t Refused = 0;
};

} // namespace cowslipridge::standins
