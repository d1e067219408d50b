#pragma once

#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/rollout/Evidence.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace cowslipridge::rpc {

/// Selects the evidence records to piggyback on each message to a peer: those
/// that changed since the last message to that peer, with their latest
/// counters.
class EvidenceFeed {
public:
  /// Adds records whose counters are new to this process.
  void add(const std::vector<rollout::EvidenceRecord> &records);
  /// Returns up to `limit` records not yet sent to `peer`, oldest change first,
  /// and marks them as sent. Excludes records whose source is `peer` itself.
  std::vector<rollout::EvidenceRecord> take(const core::InstanceId &peer,
                                            std::size_t limit);
  /// Drops the position of `peer`, so that it receives all records again.
  void removePeer(const core::InstanceId &peer);

private:
  using RowKey = std::pair<rollout::EvidenceKey, rollout::EvidenceSource>;

  std::uint64_t LastChange = 0;
  std::map<RowKey, std::uint64_t> ChangeOf; ///< last change number by row
  std::map<std::uint64_t, rollout::EvidenceRecord>
      Changes;                                        ///< by change number
  std::map<core::InstanceId, std::uint64_t> LastSent; ///< change number by peer
};

} // namespace cowslipridge::rpc
