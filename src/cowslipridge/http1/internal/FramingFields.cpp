#include "cowslipridge/http1/internal/FramingFields.hpp"

namespace cowslipridge::http1::internal {

namespace {

constexpr int FirstVersionWithCodings = 11;

bool isNumber(std::string_view text) {
  return !text.empty() &&
         text.find_first_not_of("0123456789") == std::string_view::npos;
}

} // namespace

bool isFramingUnambiguous(const HeaderFields &fields, int version) {
  const std::size_t codings = fields.count("Transfer-Encoding");
  const std::size_t lengths = fields.count("Content-Length");
  if (codings + lengths > 1)
    return false;
  if (codings == 1)
    return version >= FirstVersionWithCodings &&
           sameName(*fields.find("Transfer-Encoding"), "chunked");
  return lengths == 0 || isNumber(*fields.find("Content-Length"));
}

bool announcesBody(const HeaderFields &fields) {
  return fields.count("Transfer-Encoding") != 0 ||
         fields.find("Content-Length").value_or("0") != "0";
}

} // namespace cowslipridge::http1::internal
