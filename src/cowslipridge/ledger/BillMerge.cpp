#include "cowslipridge/ledger/BillMerge.hpp"

#include <charconv>

namespace cowslipridge::ledger {

namespace {

int rankOf(core::Outcome outcome) {
  switch (outcome) {
  case core::Outcome::Ran:
    return 2;
  case core::Outcome::Unknown:
    return 1;
  case core::Outcome::NotRun:
    break;
  }
  return 0;
}

void mergeInto(std::map<core::RequestId, Bill> &bills, const Bill &bill) {
  const auto [it, isNew] = bills.try_emplace(bill.Request, bill);
  if (!isNew)
    it->second = mergeBills(it->second, bill);
}

const BillPart &preferredPart(const BillPart &a, const BillPart &b) {
  const int rankA = rankOf(a.Result);
  const int rankB = rankOf(b.Result);
  if (rankA != rankB)
    return rankA > rankB ? a : b;
  return a < b ? b : a;
}

template <typename Visit>
void forEachRecord(const std::map<unsigned, std::vector<JournalRecord>> &old,
                   const std::vector<JournalRecord> &newest, Visit visit) {
  for (const auto &[segment, records] : old) {
    for (const JournalRecord &it : records)
      visit(it);
  }
  for (const JournalRecord &it : newest)
    visit(it);
}

// The parts of a key below the prefix: `instance/incarnation` for a head, with
// `/segment` after it for a segment.
struct KeyParts {
  JournalId Journal;
  std::optional<unsigned> Segment;
};

std::optional<KeyParts> parseKey(std::string_view rest) {
  if (const auto id = parseJournalId(rest))
    return KeyParts{*id, std::nullopt};
  const std::size_t slash = rest.rfind('/');
  if (slash == std::string_view::npos)
    return std::nullopt;
  const auto id = parseJournalId(rest.substr(0, slash));
  const std::string_view number = rest.substr(slash + 1);
  unsigned segment = 0;
  const char *end = number.data() + number.size();
  const auto [stop, ec] = std::from_chars(number.data(), end, segment);
  if (!id || ec != std::errc() || stop != end)
    return std::nullopt;
  return KeyParts{*id, segment};
}

} // namespace

Bill mergeBills(const Bill &a, const Bill &b) {
  std::map<std::string, BillPart> parts;
  for (const Bill *bill : {&a, &b}) {
    for (const BillPart &it : bill->Parts) {
      const auto [slot, isNew] = parts.try_emplace(it.Part, it);
      if (!isNew)
        slot->second = preferredPart(slot->second, it);
    }
  }
  Bill merged = a < b ? b : a;
  merged.Result = rankOf(a.Result) > rankOf(b.Result) ? a.Result : b.Result;
  merged.Parts.clear();
  for (auto &[name, part] : parts)
    merged.Parts.push_back(std::move(part));
  return merged;
}

void BillMerge::add(const backing::StoreEntry &entry) {
  const std::string prefix = journalPrefix(Service);
  if (entry.Key.rfind(prefix, 0) != 0) {
    Damaged.push_back(entry.Key);
    return;
  }
  const auto parts =
      parseKey(std::string_view(entry.Key).substr(prefix.size()));
  if (!parts)
    Damaged.push_back(entry.Key);
  else if (parts->Segment)
    addSegment(parts->Journal, *parts->Segment, entry);
  else
    addHead(parts->Journal, entry);
}

void BillMerge::addHead(const JournalId &id, const backing::StoreEntry &entry) {
  const core::Result<JournalHead> head = decodeHead(entry.Value);
  if (!head) {
    Damaged.push_back(entry.Key);
    return;
  }
  Journals[id].Sealed = head->sealed();
  Journals[id].Newest = head->Records;
}

void BillMerge::addSegment(const JournalId &id, unsigned segment,
                           const backing::StoreEntry &entry) {
  const auto records = decodeSegment(entry.Value);
  if (!records)
    Damaged.push_back(entry.Key);
  else
    Journals[id].Segments[segment] = *records;
}

void BillMerge::addBills(const Journal &journal, BillReport &report) {
  forEachRecord(journal.Segments, journal.Newest,
                [&](const JournalRecord &record) {
                  if (const auto *bill = std::get_if<Bill>(&record))
                    mergeInto(report.Bills, *bill);
                });
}

std::vector<BillMerge::ClaimStatus>
BillMerge::claimStatusesOf(const Journal &journal) {
  std::map<IdempotencyKey, ClaimStatus> statuses;
  const auto apply = [&](const JournalRecord &record) {
    if (const auto *claim = std::get_if<Claim>(&record))
      statuses[claim->Key] = {*claim, std::nullopt};
    const auto *outcome = std::get_if<ClaimOutcome>(&record);
    if (outcome == nullptr || statuses.count(outcome->Key) == 0)
      return;
    if (outcome->Result == core::Outcome::NotRun)
      statuses.erase(outcome->Key);
    else
      statuses[outcome->Key].Result = outcome->Result;
  };
  forEachRecord(journal.Segments, journal.Newest, apply);
  std::vector<ClaimStatus> list;
  list.reserve(statuses.size());
  for (const auto &[key, status] : statuses)
    list.push_back(status);
  return list;
}

// Adds a provisional bill for each claim that may lack one. In a sealed journal
// these are all claims. In a live journal, a claim without an outcome is still
// running and the bill of a call that ran may not be committed yet, so only
// outcomes recorded as Unknown are added.
void BillMerge::addOpenClaims(const Journal &journal,
                              std::map<core::RequestId, Bill> &open) {
  for (const ClaimStatus &status : claimStatusesOf(journal)) {
    if (!journal.Sealed && status.Result != core::Outcome::Unknown)
      continue;
    const Claim &claim = status.Claimed;
    mergeInto(open, {claim.Request,
                     claim.Key.Organisation,
                     claim.Key.Service,
                     status.Result.value_or(core::Outcome::Unknown),
                     {},
                     claim.At});
  }
}

BillReport BillMerge::report() const {
  BillReport report;
  report.DamagedKeys = Damaged;
  std::map<core::RequestId, Bill> open;
  for (const auto &[id, journal] : Journals) {
    addBills(journal, report);
    addOpenClaims(journal, open);
  }
  for (const auto &[request, bill] : report.Bills) {
    if (bill.Result == core::Outcome::Unknown)
      mergeInto(open, bill);
    else
      open.erase(request);
  }
  for (const auto &[request, bill] : open)
    report.Unsettled.push_back(bill);
  return report;
}

} // namespace cowslipridge::ledger
