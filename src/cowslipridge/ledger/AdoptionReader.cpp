#include "cowslipridge/ledger/AdoptionReader.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cowslipridge::ledger {

namespace {

bool isClaimOrPin(const JournalRecord &record) {
  return std::holds_alternative<Claim>(record) ||
         std::holds_alternative<ClaimOutcome>(record) ||
         std::holds_alternative<SessionPin>(record);
}

} // namespace

AdoptionReader::AdoptionReader(core::ServiceId service,
                               std::vector<unsigned> shards,
                               std::vector<JournalId> journals)
    : Service(std::move(service)), Shards(std::move(shards)),
      Journals(std::move(journals)) {}

std::string AdoptionReader::nextKey() const {
  const JournalId &journal = Journals.at(NextJournal);
  return Head ? segmentKey(Service, journal, Segment)
              : headKey(Service, journal);
}

bool AdoptionReader::add(const std::string &value) {
  const bool read = Head ? addSegment(value) : addHead(value);
  if (!read || Segment < Head->Segments)
    return read;
  // The head holds the records that follow the last segment.
  keepShardRecords(Head->Records);
  Head.reset();
  Segment = 0;
  ++NextJournal;
  return true;
}

bool AdoptionReader::addHead(const std::string &value) {
  const core::Result<JournalHead> head = decodeHead(value);
  if (head)
    Head = *head;
  return head.ok();
}

bool AdoptionReader::addSegment(const std::string &value) {
  const auto segment = decodeSegment(value);
  if (!segment)
    return false;
  keepShardRecords(*segment);
  ++Segment;
  return true;
}

void AdoptionReader::keepShardRecords(
    const std::vector<JournalRecord> &records) {
  std::copy_if(records.begin(), records.end(),
               std::back_inserter(Records[Journals[NextJournal]]),
               isClaimOrPin);
}

const std::vector<JournalRecord> &
AdoptionReader::records(const JournalId &journal) const {
  static const std::vector<JournalRecord> None;
  const auto it = Records.find(journal);
  return it == Records.end() ? None : it->second;
}

} // namespace cowslipridge::ledger
