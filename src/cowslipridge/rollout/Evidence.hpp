#pragma once

#include "cowslipridge/core/Ids.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

/// Evidence on versions, exposure credits, cut-offs and roll-out steps. But for
/// RolloutStepper, which accesses the store, the classes only decide and do no
/// I/O.
namespace cowslipridge::rollout {

/// Service, version and organisation that evidence is counted for.
struct EvidenceKey {
  core::ServiceId Service;
  core::VersionId Version;
  core::OrganisationId Organisation;
  friend auto operator<=>(const EvidenceKey &, const EvidenceKey &) = default;
};

/// Process that counted evidence. The counters of one source never decrease.
struct EvidenceSource {
  core::InstanceId Instance;
  core::Incarnation Start; ///< distinguishes restarts of the instance
  friend auto operator<=>(const EvidenceSource &,
                          const EvidenceSource &) = default;
};

/// Counters of one key at one source.
struct EvidenceCounters {
  std::uint64_t Requests = 0; ///< admitted, whether graded or not
  std::uint64_t Grades = 0;
  std::uint64_t ScoreSumMicro = 0; ///< sum of scores, in millionths
  std::uint64_t BadGrades = 0;     ///< grades below one half
  /// Sum of the scores below one half, in millionths; 0 if the source does not
  /// report it.
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

/// Counters of all sources. Merging is commutative, associative and idempotent,
/// so records may be delayed, duplicated and reordered.
class EvidenceTable {
public:
  /// Keeps the larger value of each counter; returns true if a counter grew.
  bool merge(const EvidenceRecord &record);
  /// Returns the sum over all sources.
  [[nodiscard]] EvidenceCounters total(const EvidenceKey &key) const;
  /// Returns the sum over all sources and organisations.
  [[nodiscard]] EvidenceCounters total(const core::ServiceId &service,
                                       const core::VersionId &version) const;
  /// Returns up to `limit` records that changed since they were last returned,
  /// to be sent to peers.
  std::vector<EvidenceRecord> takeChanged(std::size_t limit);

private:
  struct Row {
    EvidenceCounters Counters;
    bool Changed = false;
  };
  std::map<EvidenceKey, std::map<EvidenceSource, Row>> Rows;
};

} // namespace cowslipridge::rollout
