#pragma once

#include "cowslipridge/http1/Message.hpp"

#include <string_view>

namespace cowslipridge::http1 {

/// Returns why a successful response is no answer to the request, or an empty
/// text: a part of a body, or an encoded one, that the caller did not ask for,
/// or a body that is described in two ways.
std::string_view findFlaw(const RequestHead &request,
                          const ResponseHead &response);

} // namespace cowslipridge::http1
