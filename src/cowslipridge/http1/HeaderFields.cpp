#include "cowslipridge/http1/HeaderFields.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>

namespace cowslipridge::http1 {

namespace {

namespace beast = boost::beast;

constexpr std::array<std::string_view, 9> HopByHop = {
    "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "TE",
    "Trailer",    "Upgrade",    "Expect",           "Content-Length"};

beast::string_view toBeast(std::string_view text) {
  return {text.data(), text.size()};
}

bool isHopByHop(std::string_view name) {
  return std::any_of(HopByHop.begin(), HopByHop.end(),
                     [&](auto hop) { return sameName(hop, name); });
}

} // namespace

bool sameName(std::string_view a, std::string_view b) {
  return beast::iequals(toBeast(a), toBeast(b));
}

void HeaderFields::add(std::string_view name, std::string_view value) {
  Fields.push_back({std::string(name), std::string(value)});
}

void HeaderFields::set(std::string_view name, std::string_view value) {
  remove(name);
  add(name, value);
}

void HeaderFields::remove(std::string_view name) {
  std::erase_if(Fields,
                [&](const HeaderField &it) { return sameName(it.Name, name); });
}

std::optional<std::string_view>
HeaderFields::find(std::string_view name) const {
  for (const HeaderField &it : Fields) {
    if (sameName(it.Name, name))
      return it.Value;
  }
  return std::nullopt;
}

std::size_t HeaderFields::count(std::string_view name) const {
  return static_cast<std::size_t>(
      std::count_if(Fields.begin(), Fields.end(), [&](const HeaderField &it) {
        return sameName(it.Name, name);
      }));
}

bool HeaderFields::hasToken(std::string_view name,
                            std::string_view token) const {
  return std::any_of(Fields.begin(), Fields.end(), [&](const HeaderField &it) {
    return sameName(it.Name, name) &&
           beast::http::token_list(toBeast(it.Value)).exists(toBeast(token));
  });
}

HeaderFields endToEnd(const HeaderFields &fields) {
  HeaderFields forwarded;
  for (const HeaderField &it : fields.all()) {
    if (!isHopByHop(it.Name) && !fields.hasToken("Connection", it.Name))
      forwarded.add(it.Name, it.Value);
  }
  return forwarded;
}

} // namespace cowslipridge::http1
