#pragma once

#include "cowslipridge/core/Ids.hpp"

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace cowslipridge::ledger {

/// Identifies one journal. A sidecar whose journal was sealed by another while
/// it was running opens a new journal with the next epoch.
struct JournalId {
  core::InstanceId Instance;
  core::Incarnation Start;
  unsigned Epoch = 0;
  friend auto operator<=>(const JournalId &, const JournalId &) = default;
};

/// Returns `instance/incarnation`, with `-epoch` appended if the epoch is not
/// 0.
std::string toString(const JournalId &id);
std::optional<JournalId> parseJournalId(std::string_view text);

/// Returns the prefix of all journal keys of one service.
std::string journalPrefix(const core::ServiceId &service);
std::string headKey(const core::ServiceId &service, const JournalId &id);
std::string segmentKey(const core::ServiceId &service, const JournalId &id,
                       unsigned segment);
std::string shardTableKey(const core::ServiceId &service);

} // namespace cowslipridge::ledger
