#include "cowslipridge/peers/BundleCodec.hpp"

#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/peers/MessagePack.hpp"

#include <algorithm>
#include <optional>

namespace cowslipridge::peers {

namespace {

using nlohmann::json;

/// First element of a bundle. Plain reports begin with their own format
/// version; builds that know only those ignore any other number.
constexpr int Format = 64;
constexpr int UrgentFlag = 1;
constexpr int AsksForDirectFlag = 2;
/// Upper bound of the bytes of a row besides its origin and report, and of a
/// datagram besides its rows and its sender.
constexpr std::size_t RowOverhead = 40;
constexpr std::size_t HeadOverhead = 40;

std::optional<BundleKind> kindOf(int number) {
  using enum BundleKind;
  for (const auto kind : {Direct, Relayed, Forwarded}) {
    if (static_cast<int>(kind) == number)
      return kind;
  }
  return std::nullopt;
}

std::size_t sharedPrefix(const std::string &a, const std::string &b) {
  const auto ends = std::mismatch(a.begin(), a.end(), b.begin(), b.end());
  return static_cast<std::size_t>(ends.first - a.begin());
}

/// Builds one datagram. Origins follow from the sender's name, with which they
/// mostly share a prefix. Incarnations are differences from the latest one, as
/// a 64-bit time in each row would be a third of what a row adds to its report.
class DatagramBuilder {
public:
  explicit DatagramBuilder(const Bundle &bundle) : Head(bundle) {
    for (const StampedReport &it : bundle.Reports)
      Latest = std::max(Latest, it.Stamp.Incarnation.value());
  }
  [[nodiscard]] bool fits(const StampedReport &report) const {
    return Rows.empty() || Size + sizeOf(report) <= MaxDatagram;
  }
  void add(const StampedReport &report) {
    if (Rows.empty())
      Size = HeadOverhead + Head.Sender.str().size();
    Size += sizeOf(report);
    const std::string &origin = report.Origin.str();
    const std::size_t shared = sharedPrefix(Head.Sender.str(), origin);
    Rows.push_back(
        {shared, origin.substr(shared),
         Latest - report.Stamp.Incarnation.value(), report.Stamp.Sequence,
         json::binary({report.Report.begin(), report.Report.end()})});
  }
  std::string take() {
    const int flags = (Head.Urgent ? UrgentFlag : 0) |
                      (Head.AsksForDirect ? AsksForDirectFlag : 0);
    const json message = {
        Format, Head.Sender.str(), static_cast<int>(Head.Kind), flags, Latest,
        Rows};
    Rows = json::array();
    std::string bytes;
    json::to_msgpack(message, bytes);
    return bytes;
  }

private:
  static std::size_t sizeOf(const StampedReport &report) {
    return RowOverhead + report.Origin.str().size() + report.Report.size();
  }

  const Bundle &Head;
  std::uint64_t Latest = 0;
  json Rows = json::array();
  std::size_t Size = 0;
};

StampedReport decodeRow(const json &row, const std::string &sender,
                        std::uint64_t latest) {
  const json::binary_t &bytes = row.at(4).get_binary();
  return {core::InstanceId(sender.substr(0, row.at(0).get<std::size_t>()) +
                           row.at(1).get<std::string>()),
          {core::Incarnation(latest - row.at(2).get<std::uint64_t>()),
           row.at(3).get<std::uint64_t>()},
          std::string(bytes.begin(), bytes.end())};
}

core::Result<Bundle> decode(const json &message) {
  if (message.at(0) != Format)
    return core::Errc::Malformed;
  const auto kind = kindOf(message.at(2).get<int>());
  if (!kind)
    return core::Errc::Malformed;
  const int flags = message.at(3).get<int>();
  Bundle bundle{core::InstanceId(message.at(1).get<std::string>()),
                *kind,
                (flags & UrgentFlag) != 0,
                (flags & AsksForDirectFlag) != 0,
                {}};
  const auto latest = message.at(4).get<std::uint64_t>();
  for (const json &row : message.at(5))
    bundle.Reports.push_back(decodeRow(row, bundle.Sender.str(), latest));
  return bundle;
}

} // namespace

std::vector<std::string> encodeBundle(const Bundle &bundle) {
  std::vector<std::string> datagrams;
  DatagramBuilder builder(bundle);
  for (const StampedReport &it : bundle.Reports) {
    if (!builder.fits(it))
      datagrams.push_back(builder.take());
    builder.add(it);
  }
  if (!bundle.Reports.empty())
    datagrams.push_back(builder.take());
  return datagrams;
}

bool isBundle(std::string_view bytes) {
  constexpr unsigned ShortArrayMask = 0xf0;
  constexpr unsigned ShortArray = 0x90;
  return bytes.size() > 1 &&
         (static_cast<unsigned char>(bytes[0]) & ShortArrayMask) ==
             ShortArray &&
         bytes[1] == Format;
}

core::Result<Bundle> decodeBundle(std::string_view bytes) {
  const auto message = parseMessagePack(bytes);
  if (!message)
    return core::Errc::Malformed;
  try {
    return decode(*message);
  } catch (const json::exception &) {
    return core::Errc::Malformed;
  }
}

} // namespace cowslipridge::peers
