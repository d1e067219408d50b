#pragma once

#include "cowslipridge/route/Types.hpp"

#include <optional>
#include <string_view>
#include <vector>

namespace cowslipridge::entry {

/// Chooses a runner for a keyed request by rendezvous hashing (highest random
/// weight of key and runner) among the available runners that serve `version`.
/// All entries choose the same runner as long as that runner is available.
std::optional<core::RunnerId>
chooseByKey(std::string_view key, const core::VersionId &version,
            const std::vector<route::RunnerView> &runners,
            const std::vector<core::RunnerId> &excluded);

} // namespace cowslipridge::entry
