#include "standins/LoadCommands.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace cowslipridge::standins {

namespace {

std::uint64_t readFence(const http::Request &request) {
  const std::string text =
      http::findHeader(request.Fields, "Fencing-Number").value_or("");
  std::uint64_t fence = 0;
  std::from_chars(text.data(), text.data() + text.size(), fence);
  return fence;
}

} // namespace

bool LoadCommands::accept(const http::Request &request,
                          const std::string &model) {
  const std::uint64_t fence = readFence(request);
  const std::lock_guard lock(Guard);
  if (ChecksFencing && fence < HighestFence) {
    ++Refused;
    return false;
  }
  HighestFence = std::max(HighestFence, fence);
  Accepted[model] = fence;
  return true;
}

http::Response LoadCommands::report() const {
  const std::lock_guard lock(Guard);
  const nlohmann::json body = {{"highest_fence", HighestFence},
                               {"accepted", Accepted},
                               {"refused", Refused}};
  return http::makeJson(200, body.dump());
}

} // namespace cowslipridge::standins
