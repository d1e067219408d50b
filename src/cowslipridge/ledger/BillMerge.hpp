#pragma once

#include "cowslipridge/ledger/BillReader.hpp"
#include "cowslipridge/ledger/JournalHead.hpp"
#include "cowslipridge/ledger/JournalId.hpp"

#include <map>
#include <string>
#include <vector>

namespace cowslipridge::ledger {

/// Merges two bills of the same request. A part that is in both counts once:
/// Ran is preferred to Unknown and Unknown to NotRun, then the greater part by
/// value. The outcomes of the bills are merged in the same order of preference.
/// The merge is commutative, associative and idempotent.
Bill mergeBills(const Bill &a, const Bill &b);

/// Merges the stored journals of one service into a report.
class BillMerge {
public:
  explicit BillMerge(core::ServiceId service) : Service(std::move(service)) {}

  /// Adds one stored entry whose key is below the service's journal prefix.
  void add(const backing::StoreEntry &entry);
  [[nodiscard]] BillReport report() const;

private:
  struct Journal {
    bool Sealed = false;
    std::vector<JournalRecord> Newest;
    std::map<unsigned, std::vector<JournalRecord>> Segments;
  };
  struct ClaimStatus {
    Claim Claimed;
    std::optional<core::Outcome> Result;
  };

  void addHead(const JournalId &id, const backing::StoreEntry &entry);
  void addSegment(const JournalId &id, unsigned segment,
                  const backing::StoreEntry &entry);
  static std::vector<ClaimStatus> claimStatusesOf(const Journal &journal);
  static void addBills(const Journal &journal, BillReport &report);
  static void addOpenClaims(const Journal &journal,
                            std::map<core::RequestId, Bill> &open);

  core::ServiceId Service;
  std::map<JournalId, Journal> Journals;
  std::vector<std::string> Damaged;
};

} // namespace cowslipridge::ledger
