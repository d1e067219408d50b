#pragma once

#include "cowslipridge/config/Declaration.hpp"
#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/entry/PromptDigest.hpp"
#include "cowslipridge/http/Message.hpp"

#include <memory>
#include <optional>
#include <string>

namespace cowslipridge::entry {

/// A caller's request, parsed and authenticated against one configuration.
struct CallerRequest {
  std::shared_ptr<const config::Bundle> Configuration;
  core::RequestId Request;
  core::OrganisationId Organisation;
  core::ServiceId Service;
  config::ServiceKind Kind = config::ServiceKind::Model;
  bool Idempotent = true;
  bool Stream = false;
  std::string IdempotencyKey;
  std::string SessionText; ///< as the caller sent it; may be empty
  std::string Method;
  std::string Target; ///< as the runner expects it
  http::Headers Fields;
  std::string Body;
  PromptDigest Prompt;
  core::Millis TimeLimit; ///< for the complete answer

  [[nodiscard]] const config::ServiceDeclaration &service() const {
    return *Configuration->findService(Service);
  }
};

/// Parses and authenticates a request to `/v1/chat/completions` or
/// `/services/...`.
core::Result<CallerRequest>
parseRequest(std::shared_ptr<const config::Bundle> bundle,
             http::Request message);

/// Returns true for the paths that parseRequest() accepts.
bool isCallerPath(const std::string &path);

} // namespace cowslipridge::entry
