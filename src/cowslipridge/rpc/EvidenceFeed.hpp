#pragma once

#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/rollout/Evidence.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace cowslipridge::rpc {

/// Spreads evidence on messages that go anyway: gives each peer every record
/// that changed since its last message, newest counters only.
class EvidenceFeed {
public:
  /// Takes records that are new to this process.
  void add(const std::vector<rollout::EvidenceRecord> &records);
  /// The next records for a peer, oldest change first, none of its own.
  std::vector<rollout::EvidenceRecord> take(const core::InstanceId &peer,
                                            std::size_t limit);
  /// Forgets how far a peer has been told.
  void removePeer(const core::InstanceId &peer);

private:
  using RowKey = std::pair<rollout::EvidenceKey, rollout::EvidenceSource>;

  std::uint64_t LastChange = 0;
  std::map<RowKey, std::uint64_t> ChangeOf;
  std::map<std::uint64_t, rollout::EvidenceRecord> Changes; ///< by number
  std::map<core::InstanceId, std::uint64_t> LastSent; ///< change number by peer
};

} // namespace cowslipridge::rpc
