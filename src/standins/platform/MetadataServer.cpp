#include "standins/platform/MetadataServer.hpp"

#include "cowslipridge/core/Base64.hpp"

#include <nlohmann/json.hpp>

#include <charconv>
#include <chrono>
#include <map>

namespace cowslipridge::standins::platform {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds TickInterval{5};
constexpr std::size_t PageSize = 50;
constexpr core::Millis Second{1'000};

std::string unescape(std::string_view text) {
  std::string plain;
  for (std::size_t n = 0; n < text.size(); ++n) {
    unsigned value = 0;
    if (text[n] == '%' && n + 2 < text.size() &&
        std::from_chars(text.data() + n + 1, text.data() + n + 3, value, 16)
                .ec == std::errc()) {
      plain += static_cast<char>(value);
      n += 2;
    } else {
      plain += text[n];
    }
  }
  return plain;
}

/// A call's path and query.
struct Target {
  explicit Target(std::string_view text) {
    const std::size_t mark = text.find('?');
    Path = text.substr(0, mark);
    while (mark != std::string_view::npos && !text.empty()) {
      text.remove_prefix(std::min(text.size(), text.find_first_of("?&") + 1));
      const std::string_view pair = text.substr(0, text.find('&'));
      const std::size_t equals = pair.find('=');
      if (equals != std::string_view::npos)
        Query[std::string(pair.substr(0, equals))] =
            unescape(pair.substr(equals + 1));
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
  /// The id behind a path such as `/v1/kv-keep/`.
  [[nodiscard]] std::int64_t idBehind(std::string_view path) const {
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
          {"created", item.Created},
          {"lease", item.Lease}};
}

void answer(http1::Exchange &exchange, int status, const json &body) {
  http1::ResponseHead head;
  head.Status = status;
  head.Fields.add("Content-Type", "application/json");
  exchange.respond(std::move(head), body.dump());
}

} // namespace

MetadataServer::MetadataServer(boost::asio::io_context &loop,
                               const core::Clock &clock)
    : Clock(clock), Server(loop, clock, [this](const auto &it) { onCall(it); }),
      Ticker(loop) {
  tickLater();
}

void MetadataServer::listen(const http1::Endpoint &address) {
  Server.listen(address);
}

void MetadataServer::onCall(const std::shared_ptr<http1::Exchange> &exchange) {
  ++Calls;
  if (Faults.Silent)
    return;
  if (Faults.Busy) {
    answer(*exchange, 503, json::object());
    return;
  }
  if (isOverRate()) {
    ++Refused;
    answer(*exchange, 429, json::object());
    return;
  }
  carryOut(exchange);
}

bool MetadataServer::isOverRate() {
  if (Faults.CallsPerSecond == 0)
    return false;
  const core::Millis now = Clock.monotonic();
  while (!Recent.empty() && now - Recent.front() >= Second)
    Recent.pop_front();
  if (Recent.size() >= Faults.CallsPerSecond)
    return true;
  Recent.push_back(now);
  return false;
}

void MetadataServer::carryOut(
    const std::shared_ptr<http1::Exchange> &exchange) {
  const Target target(exchange->head().Target);
  const core::Millis now = Clock.monotonic();
  if (target.Path == "/v1/kv-range") {
    ++Pages;
    auto items = Store.list(target.text("pathPrefix"), target.text("after"));
    const bool more = items.size() > PageSize;
    items.resize(std::min(items.size(), PageSize));
    json entries = json::array();
    for (const StoredItem &it : items)
      entries.push_back(toJson(it));
    answer(*exchange, 200,
           {{"entries", entries}, {"hasMore", more}, {"at", Store.revision()}});
  } else if (target.Path == "/v1/kv-watch") {
    const Watch watch{exchange, target.text("pathPrefix"),
                      target.number("after"),
                      now + core::Millis(target.number("waitMs"))};
    if (!answerWatch(watch, false))
      Watches.push_back(watch);
  } else if (target.Path == "/v1/kv-txn") {
    transact(*exchange);
  } else if (target.Path == "/v1/kv-lease") {
    const json body = json::parse(exchange->body());
    const core::Millis lifetime(body.at("ttlMs").get<std::int64_t>());
    answer(
        *exchange, 200,
        {{"lease", Store.grant(lifetime, now)}, {"ttlMs", lifetime.count()}});
  } else if (target.Path.starts_with("/v1/kv-keep/")) {
    const auto lifetime = Store.keep(target.idBehind("/v1/kv-keep/"), now);
    answer(*exchange, lifetime ? 200 : 404,
           {{"ttlMs", lifetime.value_or(core::Millis()).count()}});
  } else if (target.Path.starts_with("/v1/kv-lease-end/")) {
    const bool ended = Store.endLease(target.idBehind("/v1/kv-lease-end/"));
    answer(*exchange, ended ? 200 : 404, json::object());
  } else {
    answer(*exchange, 404, json::object());
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
      answer(exchange, 403, json::object());
      return;
    }
    writes.push_back({key,
                      *core::decodeBase64(it.at("value").get<std::string>()),
                      it.value("lease", std::int64_t{0})});
  }
  const auto outcome = Store.transact(conditions, writes, body.at("remove"));
  if (Faults.LoseWrites) {
    exchange.abort();
    return;
  }
  switch (outcome) {
  case MetadataStore::Outcome::Done:
    answer(exchange, 200, {{"revision", Store.revision()}});
    return;
  case MetadataStore::Outcome::ConditionFailed:
    answer(exchange, 412, {{"entries", json::array()}});
    return;
  case MetadataStore::Outcome::NoLease:
    answer(exchange, 404, json::object());
    return;
  }
}

void MetadataServer::tickLater() {
  Ticker.expires_after(TickInterval);
  Ticker.async_wait([this](const auto &ec) {
    if (!ec)
      tick();
  });
}

void MetadataServer::tick() {
  const core::Millis now = Clock.monotonic();
  if (!Faults.Silent && !Faults.Busy) {
    Store.expireLeases(now);
    std::erase_if(Watches, [&](const Watch &it) {
      return answerWatch(it, now >= it.EndsAt);
    });
  }
  tickLater();
}

bool MetadataServer::answerWatch(const Watch &watch, bool isOver) {
  const auto changes = Store.changes(watch.Prefix, watch.After);
  if (!changes) {
    answer(*watch.Exchange, 410, json::object());
    return true;
  }
  if (changes->empty() && !isOver)
    return false;
  json events = json::array();
  for (const StoredItem &it : *changes)
    events.push_back(toJson(it));
  answer(*watch.Exchange, 200, {{"events", events}, {"at", Store.revision()}});
  return true;
}

} // namespace cowslipridge::standins::platform
