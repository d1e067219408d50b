#pragma once

#include "cowslipridge/http1/Message.hpp"

#include <string_view>

namespace cowslipridge::gateway {

/// Returns why a successful response is no answer to the request, or an empty
/// text: a part of a body, or an encoded one, that the caller did not ask for.
std::string_view findFlaw(const http1::RequestHead &request,
                          const http1::ResponseHead &response);

} // namespace cowslipridge::gateway
