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

/// Token bucket that allows `perSecond` calls a second, with bursts of up to
/// one second's worth; 0 means no limit.
class TokenBucket {
public:
  explicit TokenBucket(unsigned perSecond);
  bool tryAcquire(core::Millis now);

private:
  double PerSecond;
  double Tokens;
  core::Millis LastRefill;
};

/// Consul's KV and session HTTP API: compare-and-swap, blocking queries,
/// sessions with a time to live. A blocking query counts as one call.
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
    std::uint64_t CreateIndex = 0;
    std::uint64_t ModifyIndex = 0;
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
  using PendingResponse =
      std::pair<std::shared_ptr<http::Responder>, http::Response>;

  void serveKey(const http::Request &request,
                const std::shared_ptr<http::Responder> &responder,
                std::vector<PendingResponse> &responses);
  http::Response put(const std::string &key, const http::Request &request,
                     std::vector<PendingResponse> &responses);
  http::Response remove(const std::string &key, const http::Request &request,
                        std::vector<PendingResponse> &responses);
  http::Response serveSession(const http::Request &request,
                              std::vector<PendingResponse> &responses);
  http::Response createSession(const std::string &body);
  void endSession(const std::string &id,
                  std::vector<PendingResponse> &responses);
  void scheduleExpiry(const std::string &id, core::Millis delay);
  void expireSession(const std::string &id);
  void expireWatcher(std::uint64_t id);

  /// Applies the lock arguments of a write to `item`; returns false when they
  /// do not permit the write.
  bool applyLock(Item &item, const http::Request &request) const;
  void recordChange(const std::string &key,
                    std::vector<PendingResponse> &responses);
  [[nodiscard]] http::Response read(const std::string &key, bool recurse) const;
  [[nodiscard]] std::uint64_t indexOf(const std::string &key,
                                      bool recurse) const;
  bool admit(const http::Request &request);

  KeyValueSettings Settings;
  std::shared_ptr<Scheduler> Timer;
  std::mutex Guard;
  std::map<std::string, Item> Items;
  /// Maps a key to the index of its last removal.
  std::map<std::string, std::uint64_t> Removed;
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
