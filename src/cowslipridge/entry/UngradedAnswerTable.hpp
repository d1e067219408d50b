#pragma once

#include "cowslipridge/backing/Ratings.hpp"
#include "cowslipridge/route/Planner.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

namespace cowslipridge::entry {

/// Keeps the attributes of each answer until its grade arrives. Bounded: the
/// oldest answers are evicted first.
class UngradedAnswerTable {
public:
  static constexpr std::size_t MaxAnswers = 4'096;

  /// Adds an answer that has been sent; its Score is not known yet.
  void onAnswer(const core::RequestId &request,
                const route::GradeObservation &answer);
  /// Returns the observation that a grade completes and removes the answer;
  /// returns nothing for unknown requests.
  std::optional<route::GradeObservation> onGrade(const backing::Grade &grade);

private:
  std::map<core::RequestId, route::GradeObservation> Answers;
  std::deque<core::RequestId> Order; ///< oldest first
};

} // namespace cowslipridge::entry
