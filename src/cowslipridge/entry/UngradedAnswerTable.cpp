#include "cowslipridge/entry/UngradedAnswerTable.hpp"

namespace cowslipridge::entry {

void UngradedAnswerTable::onAnswer(const core::RequestId &request,
                                   const route::GradeObservation &answer) {
  if (!Answers.insert_or_assign(request, answer).second)
    return;
  Order.push_back(request);
  if (Order.size() <= MaxAnswers)
    return;
  Answers.erase(Order.front());
  Order.pop_front();
}

std::optional<route::GradeObservation>
UngradedAnswerTable::onGrade(const backing::Grade &grade) {
  const auto it = Answers.find(grade.Request);
  if (it == Answers.end())
    return std::nullopt;
  route::GradeObservation observation = it->second;
  observation.Score = grade.Score;
  Answers.erase(it);
  return observation;
}

} // namespace cowslipridge::entry
