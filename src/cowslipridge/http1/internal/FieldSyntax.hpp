#pragma once

#include <string_view>

namespace cowslipridge::http1::internal {

/// Returns whether the text is a token (RFC 9110, 5.6.2), as the name of each
/// field must be.
bool isToken(std::string_view text);

/// Returns whether the text may be the value of a field: it holds no control
/// byte but the tab.
bool isFieldValue(std::string_view text);

/// Finds lines of a head that continue the one before them (obsolete line
/// folding; RFC 9112, 5.2). A parser joins them, so that a field may hide in
/// another one's value.
class ContinuedLines {
public:
  /// Takes the next bytes of the head. Returns whether a line that has begun in
  /// these or earlier ones continues another.
  bool contains(std::string_view bytes);

private:
  bool AtLineBegin = true;
  bool Found = false;
};

} // namespace cowslipridge::http1::internal
