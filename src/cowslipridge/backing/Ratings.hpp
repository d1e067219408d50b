#pragma once

#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/core/Result.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <vector>

namespace cowslipridge::backing {

/// The grade of one answer, from 0 (useless) to 1 (perfect).
struct Grade {
  core::RequestId Request;
  double Score = 0;

  friend auto operator<=>(const Grade &, const Grade &) = default;
};

struct GradePage {
  std::vector<Grade> Grades;
  std::uint64_t Cursor = 0; ///< pass to the next fetch()
};

/// Interface to the rating service. Grades may be late, missing or duplicated.
class Ratings {
public:
  virtual ~Ratings() = default;
  /// Fetches the grades of answers of the runner `subject` that were recorded
  /// after `cursor`.
  virtual void fetch(const core::RunnerId &subject, std::uint64_t cursor,
                     std::function<void(core::Result<GradePage>)> done) = 0;
};

} // namespace cowslipridge::backing
