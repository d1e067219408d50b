#pragma once

#include "cowslipridge/core/Ids.hpp"

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace cowslipridge::ledger {

/// Names one journal. A sidecar whose journal was sealed while it lived opens
/// another under the next epoch.
struct JournalId {
  core::InstanceId Instance;
  core::Incarnation Start;
  unsigned Epoch = 0;
  friend auto operator<=>(const JournalId &, const JournalId &) = default;
};

/// `instance/incarnation`, with `-epoch` after it from the second epoch on.
std::string toString(const JournalId &id);
std::optional<JournalId> parseJournalId(std::string_view text);

/// Prefix of all journal keys of one service.
std::string journalPrefix(const core::ServiceId &service);
std::string headKey(const core::ServiceId &service, const JournalId &id);
std::string segmentKey(const core::ServiceId &service, const JournalId &id,
                       unsigned segment);
std::string shardTableKey(const core::ServiceId &service);

} // namespace cowslipridge::ledger
