#include "cowslipridge/rollout/Evidence.hpp"

#include <algorithm>

namespace cowslipridge::rollout {

namespace {

EvidenceCounters largerOf(const EvidenceCounters &a,
                          const EvidenceCounters &b) {
  return {std::max(a.Requests, b.Requests), std::max(a.Grades, b.Grades),
          std::max(a.ScoreSumMicro, b.ScoreSumMicro),
          std::max(a.BadGrades, b.BadGrades),
          std::max(a.BadScoreSumMicro, b.BadScoreSumMicro)};
}

void addTo(EvidenceCounters &sum, const EvidenceCounters &part) {
  sum.Requests += part.Requests;
  sum.Grades += part.Grades;
  sum.ScoreSumMicro += part.ScoreSumMicro;
  sum.BadGrades += part.BadGrades;
  sum.BadScoreSumMicro += part.BadScoreSumMicro;
}

} // namespace

bool EvidenceTable::merge(const EvidenceRecord &record) {
  Row &row = Rows[record.Key][record.Source];
  const EvidenceCounters merged = largerOf(row.Counters, record.Counters);
  if (merged == row.Counters)
    return false;
  row.Counters = merged;
  row.Changed = true;
  return true;
}

EvidenceCounters EvidenceTable::total(const EvidenceKey &key) const {
  EvidenceCounters sum;
  const auto it = Rows.find(key);
  if (it == Rows.end())
    return sum;
  for (const auto &[source, row] : it->second)
    addTo(sum, row.Counters);
  return sum;
}

EvidenceCounters EvidenceTable::total(const core::ServiceId &service,
                                      const core::VersionId &version) const {
  EvidenceCounters sum;
  for (auto it = Rows.lower_bound({service, version, {}});
       it != Rows.end() && it->first.Service == service &&
       it->first.Version == version;
       ++it) {
    for (const auto &[source, row] : it->second)
      addTo(sum, row.Counters);
  }
  return sum;
}

std::vector<EvidenceRecord> EvidenceTable::takeChanged(std::size_t limit) {
  std::vector<EvidenceRecord> changed;
  for (auto &[key, sources] : Rows) {
    for (auto &[source, row] : sources) {
      if (changed.size() == limit)
        return changed;
      if (!row.Changed)
        continue;
      row.Changed = false;
      changed.push_back({source, key, row.Counters});
    }
  }
  return changed;
}

} // namespace cowslipridge::rollout
