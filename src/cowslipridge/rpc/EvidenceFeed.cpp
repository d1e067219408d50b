#include "cowslipridge/rpc/EvidenceFeed.hpp"

namespace cowslipridge::rpc {

void EvidenceFeed::add(const std::vector<rollout::EvidenceRecord> &records) {
  for (const rollout::EvidenceRecord &it : records) {
    std::uint64_t &change = ChangeOf[{it.Key, it.Source}];
    Changes.erase(change);
    change = ++LastChange;
    Changes.emplace(change, it);
  }
}

std::vector<rollout::EvidenceRecord>
EvidenceFeed::take(const core::InstanceId &peer, std::size_t limit) {
  std::vector<rollout::EvidenceRecord> records;
  std::uint64_t &told = Told[peer];
  for (auto it = Changes.upper_bound(told);
       it != Changes.end() && records.size() < limit; ++it) {
    told = it->first;
    if (it->second.Source.Instance != peer)
      records.push_back(it->second);
  }
  return records;
}

void EvidenceFeed::forget(const core::InstanceId &peer) { Told.erase(peer); }

} // namespace cowslipridge::rpc
