#pragma once

#include "cowslipridge/backing/InstanceList.hpp"
#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/http/Message.hpp"

#include <string>
#include <vector>

namespace cowslipridge::ctl {

/// The response of one instance to an admin request.
struct InstanceAnswer {
  backing::InstanceRecord Instance;
  core::Result<http::Response> Answer;
};

/// Sends `GET target` with the admin key to all instances concurrently and
/// waits for all responses.
std::vector<InstanceAnswer>
queryInstances(const std::vector<backing::InstanceRecord> &instances,
               const std::string &target, const std::string &adminKey);

/// Prints the instances that did not respond with status 200. Returns true if
/// all did.
bool printFailedInstances(const std::vector<InstanceAnswer> &answers);

} // namespace cowslipridge::ctl
