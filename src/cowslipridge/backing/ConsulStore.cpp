#include "cowslipridge/backing/ConsulStore.hpp"

#include "cowslipridge/backing/internal/KvCodec.hpp"
#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/core/UriEncoding.hpp"
#include "cowslipridge/http/Client.hpp"

#include <algorithm>
#include <charconv>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

namespace cowslipridge::backing {

namespace {

constexpr int Ok = 200;
constexpr int NotFound = 404;
constexpr int FirstServerError = 500;

std::string target(const std::string &key) {
  return "/v1/kv/" + core::encodePath(key);
}

std::string cas(Revision expected) {
  return "?cas=" + std::to_string(expected);
}

std::optional<std::uint64_t> readIndex(const http::Headers &fields) {
  const auto text = http::findHeader(fields, "X-Consul-Index");
  if (!text)
    return std::nullopt;
  std::uint64_t index = 0;
  const char *end = text->data() + text->size();
  const auto [last, ec] = std::from_chars(text->data(), end, index);
  if (ec != std::errc() || last != end)
    return std::nullopt;
  return index;
}

/// Returns the entries of a response. Status 404 means that the key or prefix
/// is absent, but only if the response carries Consul's index header: another
/// server at the same address may return 404 too.
core::Result<std::vector<StoreEntry>>
readEntries(const core::Result<http::Response> &response) {
  if (!response)
    return core::Errc::StoreUnavailable;
  if (response->Status == NotFound && !readIndex(response->Fields))
    return core::Errc::Malformed;
  if (response->Status == NotFound)
    return std::vector<StoreEntry>();
  if (response->Status != Ok)
    return core::Errc::StoreUnavailable;
  return internal::parseEntries(response->Body);
}

/// Maps the response to a conditional write to its status. After a server error
/// or an unparsable body it is unknown whether the write took effect.
SwapStatus swapStatusOf(const http::Response &response) {
  if (response.Status >= FirstServerError)
    return SwapStatus::LostReply;
  if (response.Status != Ok)
    return SwapStatus::Unavailable;
  const auto decision = internal::parseDecision(response.Body);
  if (!decision)
    return SwapStatus::LostReply;
  return *decision ? SwapStatus::Swapped : SwapStatus::Mismatch;
}

/// Collects the response to one conditional write.
struct PendingSwap {
  http::Response Reply;
  std::function<void(SwapResult)> Done;

  void end(std::error_code ec, http::SendStage stage) const {
    if (!ec)
      Done({swapStatusOf(Reply)});
    else if (stage == http::SendStage::NotConnected)
      Done({SwapStatus::Unavailable});
    else
      Done({SwapStatus::LostReply});
  }
};

class ConsulStore final : public Store {
public:
  ConsulStore(const std::string &base, core::Millis timeout)
      : Base(base), Timeout(timeout), HttpClient(base, timeout) {}

  void get(const std::string &key,
           std::function<void(core::Result<std::optional<StoreEntry>>)> done)
      override {
    HttpClient.fetchAsync(
        {"GET", target(key), {}, ""},
        [done = std::move(done)](const core::Result<http::Response> &response) {
          auto entries = readEntries(response);
          if (!entries)
            done(entries.error());
          else if (entries->empty())
            done(std::optional<StoreEntry>());
          else
            done(std::optional<StoreEntry>(entries->front()));
        });
  }

  void list(const std::string &prefix,
            std::function<void(core::Result<std::vector<StoreEntry>>)> done)
      override {
    HttpClient.fetchAsync(
        {"GET", target(prefix) + "?recurse", {}, ""},
        [done = std::move(done)](const core::Result<http::Response> &response) {
          done(readEntries(response));
        });
  }

  void compareAndSwap(const std::string &key, const std::string &value,
                      Revision expected,
                      std::function<void(SwapResult)> done) override {
    write({"PUT", target(key) + cas(expected), {}, value}, std::move(done));
  }

  void compareAndDelete(const std::string &key, Revision expected,
                        std::function<void(SwapResult)> done) override {
    // Consul treats `cas=0` on a delete as unconditional.
    if (expected == 0) {
      done({SwapStatus::Mismatch});
      return;
    }
    write({"DELETE", target(key) + cas(expected), {}, ""}, std::move(done));
  }

  void watch(const std::string &prefix, std::uint64_t index, core::Millis wait,
             std::function<void(core::Result<WatchResult>)> done) override {
    const std::string query = "?recurse&index=" + std::to_string(index) +
                              "&wait=" + std::to_string(wait.count()) + "ms";
    watchClient(wait).fetchAsync(
        {"GET", target(prefix) + query, {}, ""},
        [index,
         done = std::move(done)](const core::Result<http::Response> &response) {
          auto entries = readEntries(response);
          if (!entries) {
            done(entries.error());
            return;
          }
          const auto now = readIndex(response->Fields);
          if (!now) {
            done(core::Errc::Malformed);
            return;
          }
          done(WatchResult{*entries, nextIndex(index, *now)});
        });
  }

private:
  /// Returns the index for the next watch(). A decreased index means that the
  /// service was restored, so watching restarts at 0. Otherwise the index is at
  /// least 1, as 0 would return without waiting.
  static std::uint64_t nextIndex(std::uint64_t before, std::uint64_t now) {
    return now < before ? 0 : std::max<std::uint64_t>(now, 1);
  }

  void write(http::Request request, std::function<void(SwapResult)> done) {
    auto swap = std::make_shared<PendingSwap>();
    swap->Done = std::move(done);
    http::ResponseEvents events;
    events.OnHead = [swap](int status, const http::Headers &) {
      swap->Reply.Status = status;
    };
    events.OnChunk = [swap](const std::string &chunk) {
      swap->Reply.Body += chunk;
    };
    events.OnEnd = [swap](std::error_code ec, http::SendStage stage) {
      swap->end(ec, stage);
    };
    HttpClient.send(std::move(request), std::move(events));
  }

  /// Consul adds up to one sixteenth to `wait` as jitter, so the client timeout
  /// includes it.
  http::Client &watchClient(core::Millis wait) {
    const std::lock_guard lock(Guard);
    auto &client = WatchClients[wait];
    if (!client)
      client = std::make_unique<http::Client>(Base, wait + wait / 16 + Timeout);
    return *client;
  }

  std::string Base;
  core::Millis Timeout;
  http::Client HttpClient;
  std::mutex Guard;
  std::map<core::Millis, std::unique_ptr<http::Client>> WatchClients;
};

} // namespace

std::shared_ptr<Store> makeConsulStore(const std::string &base,
                                       core::Millis timeout) {
  return std::make_shared<ConsulStore>(base, timeout);
}

} // namespace cowslipridge::backing
