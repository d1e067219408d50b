#include "cowslipridge/http1/internal/FramingFields.hpp"

#include "cowslipridge/http1/internal/FieldSyntax.hpp"

#include <algorithm>

namespace cowslipridge::http1::internal {

namespace {

constexpr int FirstVersionWithCodings = 11;

constexpr std::string_view TransferEncoding = "Transfer-Encoding";
constexpr std::string_view ContentLength = "Content-Length";

// Returns whether each item of the list is this number.
bool lists(std::string_view list, std::string_view number) {
  for (;;) {
    const std::size_t comma = list.find(',');
    if (withoutBlanks(list.substr(0, comma)) != number)
      return false;
    if (comma == std::string_view::npos)
      return true;
    list.remove_prefix(comma + 1);
  }
}

bool agreeOnLength(const HeaderFields &fields) {
  const std::string_view first = *fields.find(ContentLength);
  const std::string_view number =
      withoutBlanks(first.substr(0, first.find(',')));
  return isNumber(number) &&
         std::all_of(fields.begin(), fields.end(), [&](const HeaderField &it) {
           return !sameName(it.Name, ContentLength) || lists(it.Value, number);
         });
}

} // namespace

bool isNumber(std::string_view text) {
  return !text.empty() &&
         text.find_first_not_of("0123456789") == std::string_view::npos;
}

bool isFramingUnambiguous(const HeaderFields &fields, int version) {
  const std::size_t codings = fields.count(TransferEncoding);
  const std::size_t lengths = fields.count(ContentLength);
  if (codings == 0)
    return lengths == 0 || agreeOnLength(fields);
  return codings == 1 && lengths == 0 && version >= FirstVersionWithCodings &&
         sameName(*fields.find(TransferEncoding), "chunked");
}

bool announcesBody(const HeaderFields &fields) {
  return fields.count(TransferEncoding) != 0 ||
         fields.find(ContentLength).value_or("0") != "0";
}

} // namespace cowslipridge::http1::internal
