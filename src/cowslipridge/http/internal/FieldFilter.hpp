#pragma once

#include "cowslipridge/http/Message.hpp"

namespace cowslipridge::http::internal {

/// Returns whether a field is hop-by-hop or describes the framing of a message.
/// cpprestsdk writes such fields itself, and they must not be forwarded.
bool isConnectionField(std::string_view name);

/// Returns whether the field can be written without corrupting the message
/// (header injection).
bool isWritable(const Header &field);

} // namespace cowslipridge::http::internal
