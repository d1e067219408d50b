#pragma once

#include "cowslipridge/ledger/JournalHead.hpp"
#include "cowslipridge/ledger/JournalId.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cowslipridge::ledger {

/// Reads the journals of shards' earlier owners, one key after another: the
/// head of each, then its segments. Keeps the records that concern shards.
class AdoptionReader {
public:
  AdoptionReader(core::ServiceId service, std::vector<unsigned> shards,
                 std::vector<JournalId> journals);

  [[nodiscard]] const std::vector<unsigned> &shards() const { return Shards; }
  [[nodiscard]] bool isDone() const { return NextJournal == Journals.size(); }
  /// The key to read next; not once isDone().
  [[nodiscard]] std::string nextKey() const;
  /// Takes the value of nextKey(). False when it can't be read.
  [[nodiscard]] bool add(const std::string &value);
  /// Of one journal, in their order.
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
  std::optional<JournalHead> Head; ///< of the journal that is being read
  unsigned Segment = 0;
  std::map<JournalId, std::vector<JournalRecord>> Records;
};

} // namespace cowslipridge::ledger
