#pragma once

#include "cowslipridge/http1/HeaderFields.hpp"

#include <string_view>

namespace cowslipridge::http1::internal {

/// Returns whether the text is a number, as a length in bytes must be.
bool isNumber(std::string_view text);

/// Returns whether the fields of a head name one way at most in which the
/// length of its body is determined: the coding `chunked` and no other one, or
/// a number of bytes, which may be repeated. The parser library accepts more,
/// and leaves it to the reader to decode the body. `version` is 10 (HTTP/1.0)
/// or 11 (HTTP/1.1).
bool isFramingUnambiguous(const HeaderFields &fields, int version);

/// Returns whether the fields announce a body that is not empty. A response
/// that never has one must not do so: its bytes would be taken for the next
/// response.
bool announcesBody(const HeaderFields &fields);

} // namespace cowslipridge::http1::internal
