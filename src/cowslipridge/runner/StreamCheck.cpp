#include "cowslipridge/runner/StreamCheck.hpp"

namespace cowslipridge::runner {

bool StreamCheck::takeChunk(const EngineReport &report) {
  if (Ended)
    return false;
  if (Begun && report.AnswerId != AnswerId)
    return false;
  Begun = true;
  AnswerId = report.AnswerId;
  for (const ChoiceReport &it : report.Choices) {
    if (Closed.contains(it.Index))
      return false;
    if (it.Finished) {
      Open.erase(it.Index);
      Closed.insert(it.Index);
    } else {
      Open.insert(it.Index);
    }
  }
  return true;
}

bool StreamCheck::takeEnd() {
  const bool isFirst = !Ended;
  Ended = true;
  return isFirst;
}

bool StreamCheck::whole() const {
  return Ended && Open.empty() && !Closed.empty();
}

} // namespace cowslipridge::runner
