#include "standins/platform/MetadataServer.hpp"

#include "cowslipridge/core/Base64.hpp"

#include <nlohmann/json.hpp>

#include <charconv>
#include <map>
#include <utility>

namespace cowslipridge::standins::platform {

namespace {

using nlohmann::json;

constexpr core::Millis TickInterval{5};
constexpr std::size_t PageSize = 50;
constexpr core::Millis Second{1'000};

std::string decodePercent(std::string_view text) {
  std::string decoded;
  for (std::size_t n = 0; n < text.size(); ++n) {
    unsigned value = 0;
    if (text[n] == '%' && n + 2 < text.size() &&
        std::from_chars(text.data() + n + 1, text.data() + n + 3, value, 16)
                .ec == std::errc()) {
      decoded += static_cast<char>(value);
      n += 2;
    } else {
      decoded += text[n];
    }
  }
  return decoded;
}

/// The path and the query parameters of a call.
struct Target {
  explicit Target(std::string_view text) {
    const std::size_t queryStart = text.find('?');
    Path = text.substr(0, queryStart);
    while (queryStart != std::string_view::npos && !text.empty()) {
      text.remove_prefix(std::min(text.size(), text.find_first_of("?&") + 1));
      const std::string_view pair = text.substr(0, text.find('&'));
      const std::size_t equalsSign = pair.find('=');
      if (equalsSign != std::string_view::npos)
        Query[std::string(pair.substr(0, equalsSign))] =
            decodePercent(pair.substr(equalsSign + 1));
      if (text.find('&') == std::string_view::npos)
        break;
    }
  }

  [[nodiscard]] std::int64_t number(const std::string &key) const {
    const auto it = Query.find(key);
    return it == Query.end() ? 0 : std::atoll(it->second.c_str());
  }
  [[nodiscard]] std::string text(const std::string &key) const {
    const auto it = Query.find(key);
    return it == Query.end() ? std::string() : it->second;
  }
  /// Returns the id that follows a path such as `/v1/kv-keep/`.
  [[nodiscard]] std::int64_t idAfter(std::string_view path) const {
    return std::atoll(Path.c_str() + path.size());
  }

  std::string Path;
  std::map<std::string, std::string> Query;
};

json toJson(const StoredItem &item) {
  if (item.Deleted)
    return {{"key", item.Key}, {"revision", item.Revision}, {"deleted", true}};
  return {{"key", item.Key},
          {"value", core::encodeBase64(item.Value)},
          {"revision", item.Revision},
          {"created", item.CreatedRevision},
          {"lease", item.Lease}};
}

} // namespace

MetadataServer::MetadataServer(boost::asio::io_context &loop,
                               const core::Clock &clock)
    : Clock(clock), Server(loop, clock, [this](const auto &it) { onCall(it); }),
      Ticker(loop) {
  scheduleTick();
}

void MetadataServer::listen(const http1::Endpoint &address) {
  Server.listen(address);
}

std::size_t MetadataServer::cutWatches() {
  const auto cut = std::exchange(Watches, {});
  for (const Watch &it : cut)
    it.Exchange->abort();
  return cut.size();
}

void MetadataServer::respondJson(http1::Exchange &exchange, int status,
                                 const json &body) const {
  http1::ResponseHead head;
  head.Status = status;
  head.Fields.add("Content-Type", "application/json");
  if (SendsEra)
    head.Fields.add("Store-Era", std::to_string(Store.era()));
  exchange.respond(std::move(head), body.dump());
}

void MetadataServer::onCall(const std::shared_ptr<http1::Exchange> &exchange) {
  ++Calls;
  if (Faults.Unresponsive)
    return;
  if (Faults.Delay > core::Millis())
    DelayedCalls.push_back({exchange, Clock.monotonic() + Faults.Delay});
  else
    admit(exchange);
}

void MetadataServer::admit(const std::shared_ptr<http1::Exchange> &exchange) {
  if (Faults.Unavailable) {
    respondJson(*exchange, 503, json::object());
    return;
  }
  if (exceedsRateLimit()) {
    ++RateLimitedCalls;
    respondJson(*exchange, 429, json::object());
    return;
  }
  handle(exchange);
}

bool MetadataServer::exceedsRateLimit() {
  if (Faults.CallsPerSecond == 0)
    return false;
  const core::Millis now = Clock.monotonic();
  while (!RecentCalls.empty() && now - RecentCalls.front() >= Second)
    RecentCalls.pop_front();
  if (RecentCalls.size() >= Faults.CallsPerSecond)
    return true;
  RecentCalls.push_back(now);
  return false;
}

void MetadataServer::handle(const std::shared_ptr<http1::Exchange> &exchange) {
  const Target target(exchange->head().Target);
  const core::Millis now = Clock.monotonic();
  if (target.Path == "/v1/kv-range") {
    ++ListedPages;
    auto items = Store.list(target.text("pathPrefix"), target.text("after"));
    const bool more = items.size() > PageSize;
    items.resize(std::min(items.size(), PageSize));
    json entries = json::array();
    for (const StoredItem &it : items)
      entries.push_back(toJson(it));
    respondJson(
        *exchange, 200,
        {{"entries", entries}, {"hasMore", more}, {"at", Store.revision()}});
  } else if (target.Path == "/v1/kv-watch") {
    const Watch watch{exchange, target.text("pathPrefix"),
                      target.number("after"),
                      now + core::Millis(target.number("waitMs"))};
    if (!respondToWatch(watch, false))
      Watches.push_back(watch);
  } else if (target.Path == "/v1/kv-txn") {
    transact(*exchange);
  } else if (target.Path == "/v1/kv-lease") {
    const json body = json::parse(exchange->body());
    const core::Millis lifetime(body.at("ttlMs").get<std::int64_t>());
    respondJson(*exchange, 200,
                {{"lease", Store.grantLease(lifetime, now)},
                 {"ttlMs", lifetime.count()}});
  } else if (target.Path.starts_with("/v1/kv-keep/")) {
    const auto lifetime = Store.renewLease(target.idAfter("/v1/kv-keep/"), now);
    respondJson(*exchange, lifetime ? 200 : 404,
                {{"ttlMs", lifetime.value_or(core::Millis()).count()}});
  } else if (target.Path.starts_with("/v1/kv-lease-end/")) {
    const bool revoked = Store.revokeLease(target.idAfter("/v1/kv-lease-end/"));
    respondJson(*exchange, revoked ? 200 : 404, json::object());
  } else {
    respondJson(*exchange, 404, json::object());
  }
}

void MetadataServer::transact(http1::Exchange &exchange) {
  const json body = json::parse(exchange.body());
  std::vector<StoreCondition> conditions;
  for (const json &it : body.at("expectedRevision"))
    conditions.push_back({it.at("key"), it.at("revision")});
  std::vector<StoreWrite> writes;
  for (const json &it : body.at("write")) {
    const std::string key = it.at("key");
    if (key.starts_with("op/") || key.starts_with("servers/")) {
      respondJson(exchange, 403, json::object());
      return;
    }
    writes.push_back({key,
                      *core::decodeBase64(it.at("value").get<std::string>()),
                      it.value("lease", std::int64_t{0})});
  }
  const auto outcome = Store.transact(conditions, writes, body.at("remove"));
  if (Faults.LoseWriteReplies) {
    exchange.abort();
    return;
  }
  switch (outcome) {
  case MetadataStore::Outcome::Committed:
    respondJson(exchange, 200, {{"revision", Store.revision()}});
    return;
  case MetadataStore::Outcome::ConditionFailed:
    respondJson(exchange, 412, {{"entries", json::array()}});
    return;
  case MetadataStore::Outcome::LeaseNotFound:
    respondJson(exchange, 404, json::object());
    return;
  }
}

void MetadataServer::scheduleTick() {
  Ticker.start(TickInterval, [this] { tick(); });
}

void MetadataServer::tick() {
  const core::Millis now = Clock.monotonic();
  while (!DelayedCalls.empty() && now >= DelayedCalls.front().DueAt) {
    const auto exchange = DelayedCalls.front().Exchange;
    DelayedCalls.pop_front();
    admit(exchange);
  }
  if (!Faults.Unresponsive && !Faults.Unavailable) {
    Store.expireLeases(now);
    std::erase_if(Watches, [&](const Watch &it) {
      return respondToWatch(it, now >= it.ExpiresAt);
    });
  }
  scheduleTick();
}

bool MetadataServer::respondToWatch(const Watch &watch, bool hasTimedOut) {
  const auto changes = Store.changes(watch.Prefix, watch.After);
  if (!changes) {
    respondJson(*watch.Exchange, 410, json::object());
    return true;
  }
  if (changes->empty() && !hasTimedOut)
    return false;
  json events = json::array();
  for (const StoredItem &it : *changes)
    events.push_back(toJson(it));
  respondJson(*watch.Exchange, 200,
              {{"events", events}, {"at", Store.revision()}});
  return true;
}

} // namespace cowslipridge::standins::platform
