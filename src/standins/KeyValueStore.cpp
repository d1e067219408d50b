#include "standins/KeyValueStore.hpp"

#include "cowslipridge/core/Base64.hpp"
#include "standins/RequestParts.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace cowslipridge::standins {

namespace {

using nlohmann::json;

constexpr std::string_view KeyPrefix = "/v1/kv/";
constexpr std::string_view SessionPrefix = "/v1/session/";
constexpr core::Millis DefaultWait{300'000};
constexpr core::Millis DefaultTimeToLive{10'000};

bool matches(const std::string &watched, bool recurse, const std::string &key) {
  return recurse ? key.starts_with(watched) : key == watched;
}

http::Response makeDecision(bool applied) {
  return http::makeJson(200, applied ? "true" : "false");
}

} // namespace

TokenBucket::TokenBucket(unsigned perSecond)
    : PerSecond(perSecond), Tokens(perSecond) {}

bool TokenBucket::tryAcquire(core::Millis now) {
  if (PerSecond == 0)
    return true;
  const auto elapsedMs = static_cast<double>((now - LastRefill).count());
  Tokens = std::min(PerSecond, Tokens + elapsedMs * PerSecond / 1000);
  LastRefill = now;
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

KeyValueStore::KeyValueStore(KeyValueSettings settings,
                             std::shared_ptr<Scheduler> timer)
    : Settings(settings), Timer(std::move(timer)),
      Reads(settings.ReadsPerSecond), Writes(settings.WritesPerSecond) {}

void KeyValueStore::serve(http::Request request,
                          std::shared_ptr<http::Responder> responder) {
  std::vector<PendingResponse> responses;
  {
    const std::lock_guard lock(Guard);
    if (!admit(request)) {
      ++Counts.Refused;
      responses.emplace_back(
          responder, http::makeJson(429, "\"call rate limit exceeded\""));
    } else if (request.Target.starts_with(KeyPrefix)) {
      serveKey(request, responder, responses);
    } else if (request.Target.starts_with(SessionPrefix)) {
      ++Counts.Sessions;
      auto response = serveSession(request, responses);
      responses.emplace_back(responder, std::move(response));
    } else {
      responses.emplace_back(responder,
                             http::makeJson(404, "\"no such page\""));
    }
  }
  for (auto &[to, response] : responses)
    to->respond(std::move(response));
}

bool KeyValueStore::admit(const http::Request &request) {
  const core::Millis now = Timer->now();
  return request.Method == "GET" ? Reads.tryAcquire(now)
                                 : Writes.tryAcquire(now);
}

void KeyValueStore::serveKey(const http::Request &request,
                             const std::shared_ptr<http::Responder> &responder,
                             std::vector<PendingResponse> &responses) {
  const std::string key = decodePath(request.path().substr(KeyPrefix.size()));
  const std::string query = request.query();
  if (request.Method == "PUT") {
    ++Counts.Writes;
    auto response = put(key, request, responses);
    responses.emplace_back(responder, std::move(response));
    return;
  }
  if (request.Method == "DELETE") {
    ++Counts.Writes;
    auto response = remove(key, request, responses);
    responses.emplace_back(responder, std::move(response));
    return;
  }
  const bool recurse = http::findQueryParameter(query, "recurse").has_value();
  const auto index = findNumber(query, "index").value_or(0);
  if (index == 0 || indexOf(key, recurse) > index) {
    ++(index == 0 ? Counts.Reads : Counts.Watches);
    responses.emplace_back(responder, read(key, recurse));
    return;
  }
  ++Counts.Watches;
  const std::uint64_t id = ++LastWatcher;
  Watchers[id] = {key, recurse, index, responder};
  const auto wait = findDuration(query, "wait").value_or(DefaultWait);
  Timer->after(wait, [self = weak_from_this(), id] {
    if (const auto it = self.lock())
      it->expireWatcher(id);
  });
}

void KeyValueStore::expireWatcher(std::uint64_t id) {
  std::unique_lock lock(Guard);
  const auto it = Watchers.find(id);
  if (it == Watchers.end())
    return;
  const Watcher watcher = it->second;
  Watchers.erase(it);
  http::Response response = read(watcher.Key, watcher.Recurse);
  lock.unlock();
  watcher.Responder->respond(std::move(response));
}

http::Response KeyValueStore::put(const std::string &key,
                                  const http::Request &request,
                                  std::vector<PendingResponse> &responses) {
  if (request.Body.size() > Settings.MaxValueBytes)
    return http::makeJson(413, "\"value is too large\"");
  const auto it = Items.find(key);
  const std::uint64_t currentIndex =
      it == Items.end() ? 0 : it->second.ModifyIndex;
  const auto expected = findNumber(request.query(), "cas");
  if (expected && *expected != currentIndex)
    return makeDecision(false);
  Item item = it == Items.end() ? Item() : it->second;
  if (!applyLock(item, request))
    return makeDecision(false);
  item.Value = request.Body;
  Items[key] = std::move(item);
  recordChange(key, responses);
  return makeDecision(true);
}

bool KeyValueStore::applyLock(Item &item, const http::Request &request) const {
  const auto acquire = http::findQueryParameter(request.query(), "acquire");
  if (acquire) {
    const bool available = item.Session.empty() || item.Session == *acquire;
    if (!available || Sessions.count(*acquire) == 0)
      return false;
    if (item.Session.empty())
      ++item.LockCount;
    item.Session = *acquire;
  }
  const auto release = http::findQueryParameter(request.query(), "release");
  if (release) {
    if (item.Session != *release)
      return false;
    item.Session.clear();
  }
  return true;
}

http::Response KeyValueStore::remove(const std::string &key,
                                     const http::Request &request,
                                     std::vector<PendingResponse> &responses) {
  const auto it = Items.find(key);
  const std::uint64_t currentIndex =
      it == Items.end() ? 0 : it->second.ModifyIndex;
  const auto expected = findNumber(request.query(), "cas");
  if (expected && (*expected == 0 || *expected != currentIndex))
    return makeDecision(false);
  if (it != Items.end()) {
    Items.erase(it);
    recordChange(key, responses);
  }
  return makeDecision(true);
}

void KeyValueStore::recordChange(const std::string &key,
                                 std::vector<PendingResponse> &responses) {
  const std::uint64_t index = ++LastIndex;
  const auto it = Items.find(key);
  if (it == Items.end()) {
    Removed[key] = index;
  } else {
    it->second.ModifyIndex = index;
    if (it->second.CreateIndex == 0)
      it->second.CreateIndex = index;
  }
  for (auto watcher = Watchers.begin(); watcher != Watchers.end();) {
    const Watcher &candidate = watcher->second;
    if (!matches(candidate.Key, candidate.Recurse, key)) {
      ++watcher;
      continue;
    }
    responses.emplace_back(candidate.Responder,
                           read(candidate.Key, candidate.Recurse));
    watcher = Watchers.erase(watcher);
  }
}

http::Response KeyValueStore::read(const std::string &key, bool recurse) const {
  json items = json::array();
  for (auto it = Items.lower_bound(key);
       it != Items.end() && matches(key, recurse, it->first); ++it) {
    const Item &item = it->second;
    json entry = {{"Key", it->first},
                  {"CreateIndex", item.CreateIndex},
                  {"ModifyIndex", item.ModifyIndex},
                  {"LockIndex", item.LockCount},
                  {"Flags", 0},
                  {"Value", nullptr}};
    if (!item.Value.empty())
      entry["Value"] = core::encodeBase64(item.Value);
    if (!item.Session.empty())
      entry["Session"] = item.Session;
    items.push_back(std::move(entry));
  }
  auto response = items.empty() ? http::Response{404, {}, ""}
                                : http::makeJson(200, items.dump());
  response.Fields.push_back(
      {"X-Consul-Index", std::to_string(indexOf(key, recurse))});
  return response;
}

std::uint64_t KeyValueStore::indexOf(const std::string &key,
                                     bool recurse) const {
  std::uint64_t index = 1;
  for (auto it = Items.lower_bound(key);
       it != Items.end() && matches(key, recurse, it->first); ++it)
    index = std::max(index, it->second.ModifyIndex);
  for (auto it = Removed.lower_bound(key);
       it != Removed.end() && matches(key, recurse, it->first); ++it)
    index = std::max(index, it->second);
  return index;
}

http::Response
KeyValueStore::serveSession(const http::Request &request,
                            std::vector<PendingResponse> &responses) {
  const std::string path = request.path().substr(SessionPrefix.size());
  if (path == "create")
    return createSession(request.Body);
  const auto slash = path.find('/');
  const std::string action = path.substr(0, slash);
  const std::string id =
      slash == std::string::npos ? "" : path.substr(slash + 1);
  const auto it = Sessions.find(id);
  if (action == "destroy") {
    endSession(id, responses);
    return makeDecision(true);
  }
  if (action != "renew" || it == Sessions.end())
    return http::makeJson(404, "\"no such session\"");
  it->second.Expiry = Timer->now() + it->second.TimeToLive;
  return http::makeJson(200, json::array({{{"ID", id}}}).dump());
}

http::Response KeyValueStore::createSession(const std::string &body) {
  const json settings = json::parse(body, nullptr, false);
  Session session;
  session.TimeToLive = DefaultTimeToLive;
  if (settings.is_object()) {
    const std::string text = settings.value("TTL", std::string());
    session.TimeToLive = parseDuration(text).value_or(DefaultTimeToLive);
    session.DeletesKeys = settings.value("Behavior", std::string()) == "delete";
  }
  session.Expiry = Timer->now() + session.TimeToLive;
  const std::string id = "session-" + std::to_string(++LastSession);
  Sessions[id] = session;
  scheduleExpiry(id, session.TimeToLive);
  return http::makeJson(200, json{{"ID", id}}.dump());
}

void KeyValueStore::scheduleExpiry(const std::string &id, core::Millis delay) {
  Timer->after(delay, [self = weak_from_this(), id] {
    if (const auto it = self.lock())
      it->expireSession(id);
  });
}

void KeyValueStore::expireSession(const std::string &id) {
  std::vector<PendingResponse> responses;
  {
    const std::lock_guard lock(Guard);
    const auto it = Sessions.find(id);
    if (it == Sessions.end())
      return;
    const core::Millis remaining = it->second.Expiry - Timer->now();
    if (remaining > core::Millis(0))
      scheduleExpiry(id, remaining);
    else
      endSession(id, responses);
  }
  for (auto &[to, response] : responses)
    to->respond(std::move(response));
}

void KeyValueStore::endSession(const std::string &id,
                               std::vector<PendingResponse> &responses) {
  const auto session = Sessions.find(id);
  if (session == Sessions.end())
    return;
  const bool deletesKeys = session->second.DeletesKeys;
  Sessions.erase(session);
  std::vector<std::string> lockedKeys;
  for (const auto &[key, item] : Items)
    if (item.Session == id)
      lockedKeys.push_back(key);
  for (const std::string &key : lockedKeys) {
    if (deletesKeys)
      Items.erase(key);
    else
      Items[key].Session.clear();
    recordChange(key, responses);
  }
}

std::optional<http::Response>
KeyValueStore::debug(const http::Request &request) {
  if (request.path() != "/debug/calls")
    return std::nullopt;
  const std::lock_guard lock(Guard);
  const json counts = {
      {"reads", Counts.Reads},     {"watches", Counts.Watches},
      {"writes", Counts.Writes},   {"sessions", Counts.Sessions},
      {"refused", Counts.Refused}, {"waiting", Watchers.size()}};
  return http::makeJson(200, counts.dump());
}

} // namespace cowslipridge::standins
