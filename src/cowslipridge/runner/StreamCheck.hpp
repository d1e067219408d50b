#pragma once

#include "cowslipridge/runner/EngineMessage.hpp"

#include <set>
#include <string>

namespace cowslipridge::runner {

/// Checks the consistency of one stream: all chunks carry the same answer id,
/// no chunk follows for a choice that has finished, and no event follows the
/// end.
class StreamCheck {
public:
  /// Checks the next chunk. Returns false if it cannot belong to this answer.
  bool acceptChunk(const EngineReport &report);
  /// Records the event that ends the stream. Returns false if the stream has
  /// ended before.
  bool acceptEnd();
  /// Returns true if the stream has ended, and at least one choice has begun
  /// and all have finished.
  [[nodiscard]] bool complete() const;

private:
  std::string AnswerId;          ///< of the first chunk
  std::set<int> OpenChoices;     ///< choices that have begun but not finished
  std::set<int> FinishedChoices; ///< choices with a finish reason
  bool Started = false;
  bool Ended = false;
};

} // namespace cowslipridge::runner
