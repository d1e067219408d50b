#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cowslipridge::entry {

/// One step in the processing of a request, as readable text.
struct ExplainStep {
  core::Millis At; ///< wall time
  std::string Text;
};

/// The routing decisions made for one request.
struct Explanation {
  core::RequestId Request;
  core::OrganisationId Organisation;
  core::ServiceId Service;
  core::Generation Configuration;
  std::vector<ExplainStep> Steps;
};

/// Keeps the explanations of the latest requests. Thread-safe.
class ExplainLog {
public:
  explicit ExplainLog(std::size_t capacity) : Capacity(capacity) {}

  void begin(const Explanation &explanation);
  void add(const core::RequestId &request, ExplainStep step);
  [[nodiscard]] std::optional<Explanation>
  find(const core::RequestId &request) const;

private:
  const std::size_t Capacity;
  mutable std::mutex Guard;
  std::deque<core::RequestId> Order; ///< oldest first
  std::map<core::RequestId, Explanation> Items;
};

/// Returns the explanation as a JSON object.
std::string toJson(const Explanation &explanation);

} // namespace cowslipridge::entry
