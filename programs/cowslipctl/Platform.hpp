#pragma once

#include "cowslipridge/backing/InstanceList.hpp"
#include "cowslipridge/backing/Store.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace cowslipridge::ctl {

/// The store that --store names; null, after saying so, when it is not given.
std::shared_ptr<backing::Store> openStore();

/// All instances in the list that --instances names; nothing, after saying why,
/// when there is none or it does not answer.
std::optional<std::vector<backing::InstanceRecord>> fetchInstances();

} // namespace cowslipridge::ctl
