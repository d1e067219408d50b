#pragma once

#include <string_view>

namespace cowslipridge::http1::internal {

/// Returns whether the text is a token (RFC 9110, 5.6.2), as the name of each
/// field must be.
bool isToken(std::string_view text);

/// Returns whether the text may be the value of a field: it holds no control
/// byte but the tab.
bool isFieldValue(std::string_view text);

/// Returns the text without the blanks and tabs around it.
std::string_view withoutBlanks(std::string_view text);

/// Finds lines of a head that continue the one before them (obsolete line
/// folding; RFC 9112, 5.2) and that read as a field of their own. A parser
/// joins them, so that the field hides in another one's value.
class HiddenFields {
public:
  /// Takes the next bytes of the head. Returns whether there is such a line in
  /// these or earlier ones.
  bool areIn(std::string_view bytes);

private:
  /// The part of a line that a byte belongs to.
  enum class Part {
    LineBegin,
    Blanks, ///< at the begin of a line that continues another
    Name,   ///< what may be one, behind these blanks
    BlanksBehindName,
    Rest
  };

  static Part partBehind(Part part, char byte);

  Part Current = Part::LineBegin;
  bool Found = false;
};

} // namespace cowslipridge::http1::internal
