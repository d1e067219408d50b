#pragma once

#include "cowslipridge/route/Types.hpp"

#include <optional>
#include <string_view>
#include <vector>

namespace cowslipridge::entry {

/// The runner that a keyed request goes to whichever entry it comes through,
/// as long as that runner can take work: highest random weight of key and
/// runner among those that serve `version`.
std::optional<core::RunnerId>
chooseByKey(std::string_view key, const core::VersionId &version,
            const std::vector<route::RunnerView> &runners,
            const std::vector<core::RunnerId> &excluded);

} // namespace cowslipridge::entry
