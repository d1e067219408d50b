#pragma once

#include "cowslipridge/http/Server.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace cowslipridge::standins {

/// Which orders an engine took. An engine that checks refuses an order whose
/// fencing number is lower than one it has seen.
class LoadCommands {
public:
  explicit LoadCommands(bool checksFencing) : ChecksFencing(checksFencing) {}

  /// Whether the order of this request's Fencing-Number may be carried out.
  bool accept(const http::Request &request, const std::string &model);
  [[nodiscard]] http::Response report() const;

private:
  bool ChecksFencing;
  mutable std::mutex Guard;
  std::uint64_t HighestFence = 0;
  std::map<std::string, std::uint64_t> Accepted; ///< model to last fence
  std::uint64_t Refused = 0;
};

} // namespace cowslipridge::standins
