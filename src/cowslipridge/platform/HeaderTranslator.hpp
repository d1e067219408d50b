#pragma once

#include "cowslipridge/gateway/Translator.hpp"

namespace cowslipridge::platform {

/// Reads and writes the platform's header fields.
class HeaderTranslator final : public gateway::Translator {
public:
  [[nodiscard]] core::Result<gateway::CallerRequest>
  readRequest(const http1::RequestHead &head) const override;
  [[nodiscard]] http1::RequestHead
  relay(const http1::RequestHead &head,
        const gateway::RelayAttributes &attributes) const override;
  [[nodiscard]] gateway::ResponseAttributes
  readResponse(const http1::ResponseHead &head) const override;
  [[nodiscard]] http1::ResponseHead
  localReply(int status, const core::RequestId &request,
             std::optional<core::Millis> retryAfter) const override;
  [[nodiscard]] std::string echoField() const override;
  [[nodiscard]] std::string readinessPath() const override;
};

} // namespace cowslipridge::platform
