#include "cowslipridge/http1/HeaderFields.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>
#include <set>

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

struct NameLess {
  bool operator()(std::string_view a, std::string_view b) const {
    return beast::iless()(toBeast(a), toBeast(b));
  }
};
using NameSet = std::set<std::string_view, NameLess>;

// Returns the names that the Connection fields list.
NameSet connectionOptions(const HeaderFields &fields) {
  NameSet names;
  for (const HeaderField it : fields) {
    if (!sameName(it.Name, "Connection"))
      continue;
    for (const auto &token : beast::http::token_list(toBeast(it.Value)))
      names.emplace(token.data(), token.size());
  }
  return names;
}

} // namespace

bool sameName(std::string_view a, std::string_view b) {
  return beast::iequals(toBeast(a), toBeast(b));
}

void HeaderFields::add(std::string_view name, std::string_view value) {
  Spans.push_back({static_cast<std::uint32_t>(Text.size()),
                   static_cast<std::uint32_t>(name.size()),
                   static_cast<std::uint32_t>(value.size())});
  Text += name;
  Text += value;
}

void HeaderFields::set(std::string_view name, std::string_view value) {
  remove(name);
  add(name, value);
}

void HeaderFields::remove(std::string_view name) {
  std::erase_if(Spans,
                [&](const Span &it) { return sameName(at(it).Name, name); });
}

std::optional<std::string_view>
HeaderFields::find(std::string_view name) const {
  for (const HeaderField it : *this) {
    if (sameName(it.Name, name))
      return it.Value;
  }
  return std::nullopt;
}

std::size_t HeaderFields::count(std::string_view name) const {
  return static_cast<std::size_t>(
      std::count_if(begin(), end(), [&](const HeaderField &it) {
        return sameName(it.Name, name);
      }));
}

bool HeaderFields::hasConflict(std::string_view name) const {
  const auto first = find(name);
  return std::any_of(begin(), end(), [&](const HeaderField &it) {
    return sameName(it.Name, name) && it.Value != first;
  });
}

bool HeaderFields::hasToken(std::string_view name,
                            std::string_view token) const {
  return std::any_of(begin(), end(), [&](const HeaderField &it) {
    return sameName(it.Name, name) &&
           beast::http::token_list(toBeast(it.Value)).exists(toBeast(token));
  });
}

HeaderField HeaderFields::at(const Span &span) const {
  const std::string_view text = Text;
  return {text.substr(span.Begin, span.NameBytes),
          text.substr(span.Begin + span.NameBytes, span.ValueBytes)};
}

bool operator==(const HeaderFields &a, const HeaderFields &b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end());
}

HeaderFields endToEnd(const HeaderFields &fields) {
  const NameSet listed = connectionOptions(fields);
  HeaderFields forwarded;
  for (const HeaderField it : fields) {
    if (!isHopByHop(it.Name) && !listed.contains(it.Name))
      forwarded.add(it.Name, it.Value);
  }
  return forwarded;
}

} // namespace cowslipridge::http1
