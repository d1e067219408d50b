#pragma once

#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/gateway/CallerRequest.hpp"
#include "cowslipridge/http1/Message.hpp"

#include <optional>
#include <string>

namespace cowslipridge::gateway {

/// Port to the header names that callers and runners use.
class Translator {
public:
  virtual ~Translator() = default;
  /// An error when a field that decides something stands twice or can't be
  /// read.
  [[nodiscard]] virtual core::Result<CallerRequest>
  readRequest(const http1::RequestHead &head) const = 0;
  /// The request as the runner gets it: what only the gateway may set is set
  /// from `terms`, whatever the caller sent.
  [[nodiscard]] virtual http1::RequestHead
  relay(const http1::RequestHead &head, const RelayAttributes &terms) const = 0;
  [[nodiscard]] virtual ResponseAttributes
  readResponse(const http1::ResponseHead &head) const = 0;
  /// An answer of the gateway's own.
  [[nodiscard]] virtual http1::ResponseHead
  localReply(int status, const core::RequestId &request,
             std::optional<core::Millis> retryAfter) const = 0;
  /// The field in which runners repeat the id of the request they answer.
  [[nodiscard]] virtual std::string echoField() const = 0;
  /// The path of readiness checks.
  [[nodiscard]] virtual std::string readinessPath() const = 0;
};

} // namespace cowslipridge::gateway
