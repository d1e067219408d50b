#pragma once

#include "cowslipridge/http1/Client.hpp"

#include <functional>
#include <memory>
#include <string>

namespace cowslipridge::http1 {

/// A whole answer, or none. Status 0: no answer came, and the call may or may
/// not have been carried out.
struct FetchResult {
  int Status = 0;
  std::string Body;
  CallFailure Failure = CallFailure::NotConnected; ///< status 0
};

/// Makes one call and gathers its answer. `done` is called once, or never after
/// the call was cancelled.
std::shared_ptr<Call> fetch(Client &client, CallSpec spec,
                            std::function<void(FetchResult)> done);

} // namespace cowslipridge::http1
