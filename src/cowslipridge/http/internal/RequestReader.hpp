#pragma once

#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/http/Message.hpp"

#include <cpprest/http_msg.h>

#include <cstddef>
#include <functional>

namespace cowslipridge::http::internal {

/// Checks what the library lets pass: the size of the head and the framing of
/// the body. Returns the error to refuse the request with.
std::error_code checkHead(const web::http::http_request &message);

/// Drops the body of a request that is refused for its head.
void discardBody(const web::http::http_request &message);

/// Reads a received request whole without blocking. Answers TooLarge when the
/// body has more than `maxBodyBytes`, Malformed when it breaks off.
void readRequest(const web::http::http_request &message,
                 std::size_t maxBodyBytes,
                 std::function<void(core::Result<Request>)> done);

} // namespace cowslipridge::http::internal
