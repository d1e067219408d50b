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
  std::uint64_t &lastSent = LastSent[peer];
  for (auto it = Changes.upper_bound(lastSent);
       it != Changes.end() && records.size() < limit; ++it) {
    lastSent = it->first;
    if (it->second.Source.Instance != peer)
      records.push_back(it->second);
  }
  return records;
}

void EvidenceFeed::removePeer(const core::InstanceId &peer) {
  LastSent.erase(peer);
}

} // namespace cowslipridge::rpc
