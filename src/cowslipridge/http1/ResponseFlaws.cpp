#include "cowslipridge/http1/ResponseFlaws.hpp"

#include "cowslipridge/http1/internal/FieldSyntax.hpp"

#include <algorithm>
#include <array>

namespace cowslipridge::http1 {

namespace {

constexpr int PartialContent = 206;
constexpr std::array<std::string_view, 3> FieldsOfTheBody = {
    "Content-Type", "Content-Encoding", "Content-Range"};

// Returns whether the caller accepts the content coding. Weights are ignored,
// so that a coding with the weight of zero counts as accepted.
bool accepts(const HeaderFields &fields, std::string_view coding) {
  std::string_view list = fields.find("Accept-Encoding").value_or("");
  while (!list.empty()) {
    const std::string_view item = list.substr(0, list.find(','));
    const std::string_view name =
        internal::withoutBlanks(item.substr(0, item.find(';')));
    if (name == "*" || sameName(name, coding))
      return true;
    list.remove_prefix(std::min(item.size() + 1, list.size()));
  }
  return false;
}

} // namespace

std::string_view findFlaw(const RequestHead &request,
                          const ResponseHead &response) {
  for (const std::string_view name : FieldsOfTheBody) {
    if (response.Fields.hasConflict(name))
      return "the response describes its body in two ways";
  }
  if (response.Status == PartialContent && !request.Fields.find("Range"))
    return "the response is a part that was not asked for";
  const auto coding = response.Fields.find("Content-Encoding");
  const bool isEncoded = coding && !sameName(*coding, "identity");
  if (isEncoded && !accepts(request.Fields, *coding))
    return "the response is encoded in a way that was not asked for";
  return {};
}

} // namespace cowslipridge::http1
