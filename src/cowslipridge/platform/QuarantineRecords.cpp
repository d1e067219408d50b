#include "cowslipridge/platform/QuarantineRecords.hpp"

#include "cowslipridge/platform/internal/JsonReader.hpp"
#include "cowslipridge/platform/internal/KeyPrefix.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace cowslipridge::platform {

namespace {

// Written by gateways only.
constexpr std::string_view RecordPrefix = "cowslipridge/quarantine/";
/// Stands before the digest of a content, not before the id of a segment.
constexpr std::string_view ContentPrefix = "content-";
constexpr core::Millis CallTimeout{800};
constexpr core::Millis RetryDelay{1'000};
/// Gateways that take the same decision spread their writes over this time.
constexpr std::size_t MaxJitterMillis = 500;
constexpr int Hexadecimal = 16;

std::string keyOf(const limits::RequestTrait &trait) {
  std::array<char, 16> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 trait.Id, Hexadecimal);
  std::string name = trait.Service.str() + "/";
  if (trait.Kind == limits::TraitKind::Content)
    name += ContentPrefix;
  return internal::makeKey(RecordPrefix,
                           name + std::string(digits.data(), end.ptr));
}

std::optional<limits::RequestTrait> parseKey(const std::string &key) {
  const auto rest = internal::stripPrefix(RecordPrefix, key);
  const std::size_t slash = rest ? rest->rfind('/') : std::string::npos;
  if (slash == std::string::npos)
    return std::nullopt;
  std::string digits = rest->substr(slash + 1);
  limits::RequestTrait trait{core::ServiceId(rest->substr(0, slash)), 0};
  if (digits.starts_with(ContentPrefix)) {
    trait.Kind = limits::TraitKind::Content;
    digits.erase(0, ContentPrefix.size());
  }
  const char *end = digits.data() + digits.size();
  const auto parsed =
      std::from_chars(digits.data(), end, trait.Id, Hexadecimal);
  if (digits.empty() || parsed.ec != std::errc() || parsed.ptr != end)
    return std::nullopt;
  return trait;
}

} // namespace

QuarantineRecords::QuarantineRecords(boost::asio::io_context &loop,
                                     const core::Clock &clock,
                                     MonitoredStoreClient &store,
                                     std::uint64_t seed)
    : Clock(clock), Store(store), Timer(loop), JitterRandom(seed) {}

bool QuarantineRecords::isRecordKey(const std::string &key) {
  return internal::stripPrefix(RecordPrefix, key).has_value();
}

void QuarantineRecords::write(const limits::QuarantinedTrait &quarantined) {
  const core::Millis expiry = Clock.wall() + quarantined.Remaining;
  Own[keyOf(quarantined.Trait)] = {
      internal::Json{{"expires_at_ms", expiry.count()}}.dump(),
      Clock.monotonic() + quarantined.Remaining};
  schedule(core::Millis(static_cast<std::int64_t>(
      core::uniformIndex(JitterRandom, MaxJitterMillis))));
}

std::optional<limits::QuarantinedTrait>
QuarantineRecords::parse(const StoreItem &item) const {
  const auto trait = parseKey(item.Key);
  const auto expiry =
      internal::integerAt(internal::parseJson(item.Value), "expires_at_ms");
  if (!trait || !expiry)
    return std::nullopt;
  const core::Millis remaining = core::Millis(*expiry) - Clock.wall();
  return limits::QuarantinedTrait{
      *trait,
      std::clamp(remaining, core::Millis(), limits::TraitQuarantine::Duration)};
}

void QuarantineRecords::onItem(const StoreItem &item) {
  if (!item.Deleted) {
    Stored.insert(item.Key);
    return;
  }
  Stored.erase(item.Key);
  if (Own.contains(item.Key))
    schedule(RetryDelay);
}

void QuarantineRecords::onRestored() {
  Stored.clear();
  if (!Own.empty())
    schedule(RetryDelay);
}

void QuarantineRecords::schedule(core::Millis delay) {
  Timer.start(delay, [this] { writeMissing(); });
}

void QuarantineRecords::writeMissing() {
  const core::Millis now = Clock.monotonic();
  std::erase_if(Own, [&](const auto &it) { return it.second.Until <= now; });
  for (const auto &[key, record] : Own) {
    if (!Stored.contains(key))
      requestLease(key, record);
  }
}

void QuarantineRecords::requestLease(const std::string &key,
                                     const Record &record) {
  Store.send(StoreCallKind::Grant,
             grantLeaseCall(record.Until - Clock.monotonic()), CallTimeout,
             [this, key, record](const StoreReply &reply) {
               const auto lease = parseLease(reply.Body);
               if (reply.Status == status::Ok && lease)
                 writeRecord(key, record, *lease);
               else
                 onFailed();
             });
}

void QuarantineRecords::writeRecord(const std::string &key,
                                    const Record &record, LeaseId lease) {
  Store.send(StoreCallKind::Quarantine,
             transactionCall({{{key, 0}}, {{key, record.Value, lease}}, {}}),
             CallTimeout, [this, key](const StoreReply &reply) {
               const bool isStored = reply.Status == status::Ok ||
                                     reply.Status == status::ConditionFailed;
               if (isStored)
                 Stored.insert(key);
               else
                 onFailed();
             });
}

void QuarantineRecords::onFailed() { schedule(RetryDelay); }

} // namespace cowslipridge::platform
