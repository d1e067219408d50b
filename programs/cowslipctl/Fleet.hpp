#pragma once

#include "cowslipridge/backing/InstanceList.hpp"
#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/http/Message.hpp"

#include <string>
#include <vector>

namespace cowslipridge::ctl {

/// What one instance answered to a request of the operators.
struct InstanceAnswer {
  backing::InstanceRecord Instance;
  core::Result<http::Response> Answer;
};

/// Sends `GET target` with the operators' key to all instances at the same
/// time and waits for all answers.
std::vector<InstanceAnswer>
askInstances(const std::vector<backing::InstanceRecord> &instances,
             const std::string &target, const std::string &adminKey);

/// Prints which instances did not answer with 200. True when all did.
bool printSilent(const std::vector<InstanceAnswer> &answers);

} // namespace cowslipridge::ctl
