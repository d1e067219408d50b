#pragma once

#include "cowslipridge/core/Ids.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

/// Evidence on versions, exposure credits, cut-offs and roll-out steps: pure
/// decisions.
namespace cowslipridge::rollout {

/// What evidence is counted for.
struct EvidenceKey {
  core::ServiceId Service;
  core::VersionId Version;
  core::OrganisationId Organisation;
  friend auto operator<=>(const EvidenceKey &, const EvidenceKey &) = default;
};

/// Where evidence was counted. Each source's counters only ever grow.
struct EvidenceSource {
  core::InstanceId Instance;
  core::Incarnation Start;
  friend auto operator<=>(const EvidenceSource &,
                          const EvidenceSource &) = default;
};

/// Counters of one key at one source.
struct EvidenceCounters {
  std::uint64_t Requests = 0; ///< admitted, graded or not
  std::uint64_t Grades = 0;
  std::uint64_t ScoreSumMicro = 0; ///< sum of scores, in millionths
  std::uint64_t BadGrades = 0;     ///< grades below one half
  /// Their sum, in millionths; 0 when the source does not tell it.
  std::uint64_t BadScoreSumMicro = 0;
  friend auto operator<=>(const EvidenceCounters &,
                          const EvidenceCounters &) = default;
};

struct EvidenceRecord {
  EvidenceSource Source;
  EvidenceKey Key;
  EvidenceCounters Counters;
  friend auto operator<=>(const EvidenceRecord &,
                          const EvidenceRecord &) = default;
};

/// Counters of all sources. Merging is commutative, associative and
/// idempotent, so records may come late, twice and in any order.
class EvidenceTable {
public:
  /// Keeps the larger of each counter; true when something grew.
  bool merge(const EvidenceRecord &record);
  /// Sum over all sources.
  [[nodiscard]] EvidenceCounters total(const EvidenceKey &key) const;
  /// Sum over all sources and organisations.
  [[nodiscard]] EvidenceCounters total(const core::ServiceId &service,
                                       const core::VersionId &version) const;
  /// Records that changed since the last call; for spreading on messages.
  std::vector<EvidenceRecord> takeChanged(std::size_t limit);

private:
  struct Row {
    EvidenceCounters Counters;
    bool Changed = false;
  };
  std::map<EvidenceKey, std::map<EvidenceSource, Row>> Rows;
};

} // namespace cowslipridge::rollout
