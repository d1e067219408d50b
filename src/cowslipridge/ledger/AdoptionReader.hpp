#pragma once

#include "cowslipridge/ledger/JournalHead.hpp"
#include "cowslipridge/ledger/JournalId.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cowslipridge::ledger {

/// Reads the journals of the earlier owners of some shards, one key after
/// another: the head of each journal, then its segments. Keeps only claims,
/// outcomes and pins.
class AdoptionReader {
public:
  AdoptionReader(core::ServiceId service, std::vector<unsigned> shards,
                 std::vector<JournalId> journals);

  [[nodiscard]] const std::vector<unsigned> &shards() const { return Shards; }
  [[nodiscard]] bool isDone() const { return NextJournal == Journals.size(); }
  /// Returns the key to read next. Must not be called once isDone().
  [[nodiscard]] std::string nextKey() const;
  /// Adds the value stored at nextKey(). Returns false if it cannot be decoded.
  [[nodiscard]] bool add(const std::string &value);
  /// Returns the kept records of one journal, oldest first.
  [[nodiscard]] const std::vector<JournalRecord> &
  records(const JournalId &journal) const;

private:
  bool addHead(const std::string &value);
  bool addSegment(const std::string &value);
  void keepShardRecords(const std::vector<JournalRecord> &records);

  core::ServiceId Service;
  std::vector<unsigned> Shards;
  std::vector<JournalId> Journals;
  std::size_t NextJournal = 0;
  std::optional<JournalHead> Head; ///< of the journal being read
  unsigned Segment = 0;
  std::map<JournalId, std::vector<JournalRecord>> Records;
};

} // namespace cowslipridge::ledger
