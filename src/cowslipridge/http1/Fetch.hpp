#pragma once

#include "cowslipridge/http1/Client.hpp"

#include <functional>
#include <memory>
#include <string>

namespace cowslipridge::http1 {

/// A complete response, or none. Status 0: no complete response was received,
/// and the server may or may not have processed the request.
struct FetchResult {
  int Status = 0;
  HeaderFields Fields;
  std::string Body;
  CallFailure Failure = CallFailure::NotConnected; ///< valid if Status is 0
  std::string Defect; ///< what is wrong with bytes that are no response
};

/// Makes one call and collects its response. Calls `onDone` once, or not at all
/// if the call is cancelled.
std::shared_ptr<Call> fetch(Client &client, CallSpec spec,
                            std::function<void(FetchResult)> onDone);

} // namespace cowslipridge::http1
