#pragma once

#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/gateway/CallerRequest.hpp"
#include "cowslipridge/http1/Message.hpp"

#include <optional>
#include <string>

namespace cowslipridge::gateway {

/// Interface to the header names that callers and runners use.
class Translator {
public:
  virtual ~Translator() = default;
  /// Returns an error when a field that affects routing is duplicated or
  /// malformed.
  [[nodiscard]] virtual core::Result<CallerRequest>
  readRequest(const http1::RequestHead &head) const = 0;
  /// Returns the head that is sent to the runner. Fields that only the gateway
  /// may set are set from `attributes`, whatever the caller sent.
  [[nodiscard]] virtual http1::RequestHead
  relay(const http1::RequestHead &head,
        const RelayAttributes &attributes) const = 0;
  [[nodiscard]] virtual ResponseAttributes
  readResponse(const http1::ResponseHead &head) const = 0;
  /// Returns the head of a response that the gateway generates itself.
  [[nodiscard]] virtual http1::ResponseHead
  localReply(int status, const core::RequestId &request,
             std::optional<core::Millis> retryAfter) const = 0;
  /// Returns the field in which runners echo the id of the request.
  [[nodiscard]] virtual std::string echoField() const = 0;
  /// Returns the path of readiness checks.
  [[nodiscard]] virtual std::string readinessPath() const = 0;

protected:
  /// For a response that carries the runner's statement.
  static NotRunStatement notRunStatement() { return {}; }
};

} // namespace cowslipridge::gateway
