#pragma once

#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/http/Message.hpp"

#include <cpprest/http_msg.h>

#include <cstddef>
#include <functional>

namespace cowslipridge::http::internal {

/// Validates what cpprestsdk does not: the size of the head and the framing of
/// the body. Returns the reason to reject the request, if any.
std::error_code checkHead(const web::http::http_request &message);

/// Discards the body of a rejected request.
void discardBody(const web::http::http_request &message);

/// Reads a complete request without blocking. Reports TooLarge when the body
/// exceeds `maxBodyBytes`, Malformed when the body is truncated.
void readRequest(const web::http::http_request &message,
                 std::size_t maxBodyBytes,
                 std::function<void(core::Result<Request>)> done);

} // namespace cowslipridge::http::internal
