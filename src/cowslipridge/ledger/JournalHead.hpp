#pragma once

#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/ledger/Records.hpp"

#include <compare>
#include <string>
#include <vector>

namespace cowslipridge::ledger {

/// The value of a journal's head key: the newest records and the number of
/// immutable segments that hold the older ones.
struct JournalHead {
  std::string Append; ///< id of the append that wrote this value
  unsigned Segments = 0;
  std::string SealedBy; ///< journal that sealed this one; empty: not sealed
  std::vector<JournalRecord> Records;

  [[nodiscard]] bool sealed() const { return !SealedBy.empty(); }
  friend auto operator<=>(const JournalHead &, const JournalHead &) = default;
};

std::string encodeHead(const JournalHead &head);
/// Decodes a value written by encodeHead(). Returns Errc::Malformed for any
/// other text.
core::Result<JournalHead> decodeHead(const std::string &text);

std::string encodeSegment(const std::vector<JournalRecord> &records);
/// Decodes a value written by encodeSegment(). Returns Errc::Malformed for any
/// other text.
core::Result<std::vector<JournalRecord>> decodeSegment(const std::string &text);

/// Returns the size in bytes of the record in a head or segment.
std::size_t encodedSize(const JournalRecord &record);

} // namespace cowslipridge::ledger
