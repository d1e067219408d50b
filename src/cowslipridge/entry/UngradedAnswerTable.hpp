#pragma once

#include "cowslipridge/backing/Ratings.hpp"
#include "cowslipridge/route/Planner.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

namespace cowslipridge::entry {

/// Keeps what a grade is to be learnt with until the grade comes. Bounded: the
/// oldest answers are forgotten first.
class UngradedAnswerTable {
public:
  static constexpr std::size_t MaxAnswers = 4'096;

  /// An answer was given; its Score is not known yet.
  void onAnswer(const core::RequestId &request,
                const route::GradeObservation &answer);
  /// The observation that a grade completes; nothing for unknown requests.
  std::optional<route::GradeObservation> onGrade(const backing::Grade &grade);

private:
  std::map<core::RequestId, route::GradeObservation> Answers;
  std::deque<core::RequestId> Order; ///< oldest first
};

} // namespace cowslipridge::entry
