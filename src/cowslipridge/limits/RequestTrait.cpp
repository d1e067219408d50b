#include "cowslipridge/limits/RequestTrait.hpp"

#include <algorithm>

namespace cowslipridge::limits {

bool RequestTraits::contains(const RequestTrait &trait) const {
  if (trait.Service != Service)
    return false;
  if (trait.Kind == TraitKind::Content)
    return Content != 0 && trait.Id == Content;
  return std::find(Segments.begin(), Segments.end(), trait.Id) !=
         Segments.end();
}

std::vector<RequestTrait> RequestTraits::list() const {
  std::vector<RequestTrait> traits;
  traits.reserve(Segments.size() + 1);
  for (const std::uint64_t it : Segments)
    traits.push_back({Service, it, TraitKind::PromptSegment});
  if (Content != 0)
    traits.push_back({Service, Content, TraitKind::Content});
  return traits;
}

} // namespace cowslipridge::limits
