#pragma once

#include <string>

namespace cowslipridge::http1::internal {

/// Empties a string and frees its memory, which an assignment or clear() keeps.
inline void freeText(std::string &text) { std::string().swap(text); }

} // namespace cowslipridge::http1::internal
