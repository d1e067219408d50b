#pragma once

#include "cowslipridge/http/Message.hpp"

namespace cowslipridge::http::internal {

/// True for fields that belong to one connection or to the framing of one
/// message, which the library writes itself and nobody may relay.
bool isConnectionField(std::string_view name);

/// True when the field can be written without breaking the message apart.
bool isWritable(const Header &field);

} // namespace cowslipridge::http::internal
