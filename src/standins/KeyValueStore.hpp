#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "standins/Scheduler.hpp"
#include "standins/StandIn.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cowslipridge::standins {

struct KeyValueSettings {
  std::size_t MaxValueBytes = std::size_t{1024} * 1024;
  unsigned ReadsPerSecond = 0;  ///< 0: no limit
  unsigned WritesPerSecond = 0; ///< 0: no limit
};

/// Allows so many calls a second, with bursts of up to one second's worth.
class TokenBucket {
public:
  explicit TokenBucket(unsigned perSecond);
  bool take(core::Millis now);

private:
  double PerSecond;
  double Left;
  core::Millis Last;
};

/// Consul's KV and session HTTP API: compare-and-swap, blocking queries,
/// sessions with a time to live. A waiting query counts as one call.
class KeyValueStore final : public StandIn,
                            public std::enable_shared_from_this<KeyValueStore> {
public:
  KeyValueStore(KeyValueSettings settings, std::shared_ptr<Scheduler> timer);

  void serve(http::Request request,
             std::shared_ptr<http::Responder> responder) override;
  std::optional<http::Response> debug(const http::Request &request) override;

private:
  struct Item {
    std::string Value;
    std::uint64_t CreatedAt = 0;
    std::uint64_t ModifiedAt = 0;
    std::uint64_t LockCount = 0;
    std::string Session;
  };
  struct Session {
    core::Millis TimeToLive;
    core::Millis Expiry;
    bool DeletesKeys = false;
  };
  struct Watcher {
    std::string Key;
    bool Recurse = false;
    std::uint64_t Index = 0;
    std::shared_ptr<http::Responder> Responder;
  };
  struct CallCounts {
    std::uint64_t Reads = 0;
    std::uint64_t Watches = 0;
    std::uint64_t Writes = 0;
    std::uint64_t Sessions = 0;
    std::uint64_t Refused = 0;
  };
  using Answer = std::pair<std::shared_ptr<http::Responder>, http::Response>;

  void serveKey(const http::Request &request,
                const std::shared_ptr<http::Responder> &responder,
                std::vector<Answer> &answers);
  http::Response put(const std::string &key, const http::Request &request,
                     std::vector<Answer> &answers);
  http::Response remove(const std::string &key, const http::Request &request,
                        std::vector<Answer> &answers);
  http::Response serveSession(const http::Request &request,
                              std::vector<Answer> &answers);
  http::Response createSession(const std::string &body);
  void endSession(const std::string &id, std::vector<Answer> &answers);
  void armExpiry(const std::string &id, core::Millis delay);
  void expireSession(const std::string &id);
  void expireWatcher(std::uint64_t id);

  /// Whether the lock arguments of a write allow it.
  bool applyLock(Item &item, const http::Request &request) const;
  void touch(const std::string &key, std::vector<Answer> &answers);
  [[nodiscard]] http::Response read(const std::string &key, bool recurse) const;
  [[nodiscard]] std::uint64_t indexOf(const std::string &key,
                                      bool recurse) const;
  bool admit(const http::Request &request);

  KeyValueSettings Settings;
  std::shared_ptr<Scheduler> Timer;
  std::mutex Guard;
  std::map<std::string, Item> Items;
  std::map<std::string, std::uint64_t> Removed; ///< key to its last change
  std::map<std::string, Session> Sessions;
  std::map<std::uint64_t, Watcher> Watchers;
  std::uint64_t LastIndex = 1;
  std::uint64_t LastWatcher = 0;
  std::uint64_t LastSession = 0;
  TokenBucket Reads;
  TokenBucket Writes;
  CallCounts Counts;
};

} // namespace cowslipridge::standins
