#pragma once

#include "cowslipridge/runner/EngineMessage.hpp"

#include <set>
#include <string>

namespace cowslipridge::runner {

/// Checks that the chunks of one stream belong together: one id, no chunk for
/// a choice that has finished, and no event after the end.
class StreamCheck {
public:
  /// Takes the next chunk; false when it cannot belong to the same answer.
  bool takeChunk(const EngineReport &report);
  /// Takes the event that ends the stream; false when it had ended before.
  bool takeEnd();
  /// True when the stream ended and every choice in it has finished.
  [[nodiscard]] bool whole() const;

private:
  std::string AnswerId; ///< of the first chunk
  std::set<int> Open;   ///< choices that have begun
  std::set<int> Closed; ///< choices that have finished
  bool Begun = false;
  bool Ended = false;
};

} // namespace cowslipridge::runner
