#include "cowslipridge/runner/StreamCheck.hpp"

namespace cowslipridge::runner {

bool StreamCheck::acceptChunk(const EngineReport &report) {
  if (Ended)
    return false;
  if (Started && report.AnswerId != AnswerId)
    return false;
  Started = true;
  AnswerId = report.AnswerId;
  for (const ChoiceReport &it : report.Choices) {
    if (FinishedChoices.contains(it.Index))
      return false;
    if (it.Finished) {
      OpenChoices.erase(it.Index);
      FinishedChoices.insert(it.Index);
    } else {
      OpenChoices.insert(it.Index);
    }
  }
  return true;
}

bool StreamCheck::acceptEnd() {
  const bool isFirst = !Ended;
  Ended = true;
  return isFirst;
}

bool StreamCheck::complete() const {
  return Ended && OpenChoices.empty() && !FinishedChoices.empty();
}

} // namespace cowslipridge::runner
