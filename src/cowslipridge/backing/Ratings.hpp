#pragma once

#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/core/Result.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <vector>

namespace cowslipridge::backing {

/// A grade of one answer, 0 (useless) to 1 (perfect).
struct Grade {
  core::RequestId Request;
  double Score = 0;

  friend auto operator<=>(const Grade &, const Grade &) = default;
};

struct GradePage {
  std::vector<Grade> Grades;
  std::uint64_t Cursor = 0; ///< pass to the next fetch()
};

/// Port to the rating service. Grades may be late, missing or repeated.
class Ratings {
public:
  virtual ~Ratings() = default;
  /// Grades for answers of `subject` (a runner) that came after `cursor`.
  virtual void fetch(const core::RunnerId &subject, std::uint64_t cursor,
                     std::function<void(core::Result<GradePage>)> done) = 0;
};

} // namespace cowslipridge::backing
