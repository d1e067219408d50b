#include "cowslipridge/ledger/JournalId.hpp"

#include <charconv>

namespace cowslipridge::ledger {

namespace {

template <typename T> std::optional<T> parseNumber(std::string_view text) {
  T number = 0;
  const char *end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, number);
  if (ec != std::errc() || stop != end)
    return std::nullopt;
  return number;
}

} // namespace

std::string toString(const JournalId &id) {
  std::string text = id.Instance.str();
  text += '/';
  text += std::to_string(id.Start.value());
  if (id.Epoch > 0) {
    text += '-';
    text += std::to_string(id.Epoch);
  }
  return text;
}

std::optional<JournalId> parseJournalId(std::string_view text) {
  const std::size_t slash = text.find('/');
  if (slash == 0 || slash == std::string_view::npos)
    return std::nullopt;
  const std::string_view rest = text.substr(slash + 1);
  const std::size_t dash = rest.find('-');
  const auto start = parseNumber<std::uint64_t>(rest.substr(0, dash));
  if (!start)
    return std::nullopt;
  unsigned epoch = 0;
  if (dash != std::string_view::npos) {
    const auto parsed = parseNumber<unsigned>(rest.substr(dash + 1));
    if (!parsed || *parsed == 0)
      return std::nullopt;
    epoch = *parsed;
  }
  return JournalId{core::InstanceId(std::string(text.substr(0, slash))),
                   core::Incarnation(*start), epoch};
}

std::string journalPrefix(const core::ServiceId &service) {
  return "cowslipridge/journal/" + service.str() + "/";
}

std::string headKey(const core::ServiceId &service, const JournalId &id) {
  return journalPrefix(service) + toString(id);
}

std::string segmentKey(const core::ServiceId &service, const JournalId &id,
                       unsigned segment) {
  return headKey(service, id) + "/" + std::to_string(segment);
}

std::string shardTableKey(const core::ServiceId &service) {
  return "cowslipridge/shards/" + service.str();
}

} // namespace cowslipridge::ledger
