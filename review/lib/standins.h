// Stand-ins for the scripts of the review: the platform's store, runners,
// clients, and the start and stop of gateways. Every address is a loopback
// address. Blocking sockets and one thread a connection keep them short.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <strings.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Json = nlohmann::json;

inline constexpr const char *LoopbackHost = "127.0.0.1";

/// Exit codes of a case.
inline constexpr int RuleHeld = 0;
inline constexpr int RuleBroken = 1;
inline constexpr int CouldNotRun = 2;

/// Milliseconds on the steady clock since the start of the process.
inline long long nowMs() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}

inline void sleepMs(long long millis) {
  std::this_thread::sleep_for(std::chrono::milliseconds(millis));
}

/// Writes what was sent, answered and run, with its time.
class Record {
public:
  explicit Record(const std::string &path) : Out(path) {}
  void line(const std::string &text) {
    const std::lock_guard lock(Guard);
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f  ",
                  static_cast<double>(nowMs()) / 1000);
    Out << time << text << "\n" << std::flush;
  }

private:
  std::mutex Guard;
  std::ofstream Out;
};

/// Ends the case because it could not run.
[[noreturn]] inline void giveUp(const std::string &reason) {
  std::fprintf(stderr, "could not run: %s\n", reason.c_str());
  throw std::runtime_error(reason);
}

// ---------------------------------------------------------------- sockets

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline int portOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
  return ntohs(address.sin_port);
}

/// Listens on a free port of the loopback address.
inline int listenOnFreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = loopback(0);
  if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) !=
          0 ||
      listen(fd, 512) != 0)
    giveUp("cannot listen on a loopback address");
  return fd;
}

/// Returns a port that is free for TCP and UDP.
inline int freePort() {
  static std::set<int> given;
  for (;;) {
    const int tcp = listenOnFreePort();
    const int port = portOf(tcp);
    const int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    const bool free =
        bind(udp, reinterpret_cast<const sockaddr *>(&address),
             sizeof address) == 0;
    close(udp);
    close(tcp);
    if (free && given.insert(port).second)
      return port;
  }
}

inline int connectTo(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const sockaddr_in address = loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr *>(&address),
              sizeof address) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline bool sendAll(int fd, const std::string &bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

/// Waits for input; returns whether there is some, or the end of the stream.
inline bool awaitInput(int fd, long long timeoutMs) {
  pollfd entry{fd, POLLIN, 0};
  return poll(&entry, 1, static_cast<int>(timeoutMs)) > 0;
}

// ------------------------------------------------------------------ HTTP

/// A request or a response.
struct Message {
  std::string First; ///< request line or status line
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;
  bool Whole = false; ///< the body arrived as its framing says

  [[nodiscard]] std::string field(const std::string &name) const {
    for (const auto &[key, value] : Fields) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0)
        return value;
    }
    return "";
  }
  [[nodiscard]] bool has(const std::string &name) const {
    for (const auto &[key, value] : Fields) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0)
        return true;
    }
    return false;
  }
  [[nodiscard]] std::string method() const {
    return First.substr(0, First.find(' '));
  }
  [[nodiscard]] std::string target() const {
    const std::size_t from = First.find(' ') + 1;
    return First.substr(from, First.find(' ', from) - from);
  }
  [[nodiscard]] int status() const {
    const std::size_t space = First.find(' ');
    return space == std::string::npos ? 0 : std::atoi(First.c_str() + space);
  }
};

/// Reads messages from a connection.
class Reader {
public:
  explicit Reader(int fd) : Fd(fd) {}

  /// Reads more bytes. Returns false at the end, on an error or a timeout.
  bool fill(long long timeoutMs) {
    if (timeoutMs <= 0 || !awaitInput(Fd, timeoutMs))
      return false;
    char chunk[16384];
    const ssize_t n = recv(Fd, chunk, sizeof chunk, 0);
    if (n <= 0) {
      Ended = true;
      return false;
    }
    Buffer.append(chunk, static_cast<std::size_t>(n));
    return true;
  }

  bool readHead(Message &message, long long timeoutMs) {
    const long long end = nowMs() + timeoutMs;
    std::size_t at = std::string::npos;
    while ((at = Buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!fill(end - nowMs()))
        return false;
    }
    std::istringstream lines(Buffer.substr(0, at));
    Buffer.erase(0, at + 4);
    std::string line;
    while (std::getline(lines, line)) {
      if (!line.empty() && line.back() == '\r')
        line.pop_back();
      if (message.First.empty()) {
        message.First = line;
        continue;
      }
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos)
        continue;
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      message.Fields.emplace_back(
          line.substr(0, colon),
          value == std::string::npos ? "" : line.substr(value));
    }
    return true;
  }

  /// Reads the body. `isRequest`: without framing there is none.
  bool readBody(Message &message, bool isRequest, long long timeoutMs) {
    const long long end = nowMs() + timeoutMs;
    if (strcasecmp(message.field("Transfer-Encoding").c_str(), "chunked") ==
        0) {
      message.Whole = readChunks(message.Body, end);
    } else if (message.has("Content-Length")) {
      const std::size_t length = std::stoul(message.field("Content-Length"));
      while (Buffer.size() < length && fill(end - nowMs()))
        ;
      message.Whole = Buffer.size() >= length;
      message.Body = Buffer.substr(0, length);
      Buffer.erase(0, length);
    } else if (isRequest) {
      message.Whole = true;
    } else {
      while (fill(end - nowMs()))
        ;
      message.Whole = Ended;
      message.Body = std::exchange(Buffer, {});
    }
    return message.Whole;
  }

  bool read(Message &message, bool isRequest, long long timeoutMs) {
    const long long end = nowMs() + timeoutMs;
    return readHead(message, timeoutMs) &&
           readBody(message, isRequest, end - nowMs());
  }

  /// Reads one chunk; an empty one is the last.
  std::optional<std::string> readChunk(long long end) {
    std::size_t line = std::string::npos;
    while ((line = Buffer.find("\r\n")) == std::string::npos) {
      if (!fill(end - nowMs()))
        return std::nullopt;
    }
    const std::size_t size = std::strtoul(Buffer.c_str(), nullptr, 16);
    while (Buffer.size() < line + 2 + size + 2) {
      if (!fill(end - nowMs()))
        return std::nullopt;
    }
    std::string chunk = Buffer.substr(line + 2, size);
    Buffer.erase(0, line + 2 + size + 2);
    return chunk;
  }

  [[nodiscard]] bool ended() const { return Ended; }

private:
  bool readChunks(std::string &body, long long end) {
    for (;;) {
      const auto chunk = readChunk(end);
      if (!chunk)
        return false;
      if (chunk->empty())
        return true;
      body += *chunk;
    }
  }

  int Fd;
  std::string Buffer;
  bool Ended = false;
};

inline std::string response(int status, const std::string &fields,
                            const std::string &body) {
  return "HTTP/1.1 " + std::to_string(status) + " x\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections and serves each on a thread of its own.
class Server {
public:
  using Handler = std::function<void(int fd)>;

  explicit Server(Handler handler)
      : Handle(std::move(handler)), Fd(listenOnFreePort()), Port(portOf(Fd)) {
    Acceptor = std::thread([this] { accept(); });
  }
  ~Server() { stop(); }
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  [[nodiscard]] int port() const { return Port; }
  /// Closes the listener and all connections, as the end of a process does.
  void stop() {
    if (Stopped.exchange(true))
      return;
    shutdown(Fd, SHUT_RDWR);
    Acceptor.join();
    close(Fd);
    closeConnections();
    while (Active > 0)
      sleepMs(1);
  }
  void closeConnections() {
    const std::lock_guard lock(Guard);
    for (const int it : Open)
      shutdown(it, SHUT_RDWR);
  }

private:
  void accept() {
    while (!Stopped) {
      const int fd = accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      {
        const std::lock_guard lock(Guard);
        Open.insert(fd);
      }
      ++Active;
      std::thread([this, fd] {
        Handle(fd);
        {
          const std::lock_guard lock(Guard);
          Open.erase(fd);
        }
        close(fd);
        --Active;
      }).detach();
    }
  }

  Handler Handle;
  int Fd;
  int Port;
  std::thread Acceptor;
  std::atomic<bool> Stopped{false};
  std::atomic<int> Active{0};
  std::mutex Guard;
  std::set<int> Open;
};

// ----------------------------------------------------------------- store

inline std::string encodeBase64(const std::string &bytes) {
  static const char *const digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t n = 0; n < bytes.size(); n += 3) {
    const auto at = [&](std::size_t i) {
      return i < bytes.size() ? static_cast<unsigned char>(bytes[i]) : 0U;
    };
    const unsigned value = at(n) << 16 | at(n + 1) << 8 | at(n + 2);
    text += digits[value >> 18];
    text += digits[value >> 12 & 63];
    text += n + 1 < bytes.size() ? digits[value >> 6 & 63] : '=';
    text += n + 2 < bytes.size() ? digits[value & 63] : '=';
  }
  return text;
}

inline std::string decodeBase64(const std::string &text) {
  std::string bytes;
  unsigned value = 0;
  int bits = 0;
  for (const char c : text) {
    unsigned digit = 0;
    if (c >= 'A' && c <= 'Z')
      digit = static_cast<unsigned>(c - 'A');
    else if (c >= 'a' && c <= 'z')
      digit = static_cast<unsigned>(c - 'a' + 26);
    else if (c >= '0' && c <= '9')
      digit = static_cast<unsigned>(c - '0' + 52);
    else if (c == '+')
      digit = 62;
    else if (c == '/')
      digit = 63;
    else
      break;
    value = value << 6 | digit;
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>(value >> bits & 255);
    }
  }
  return bytes;
}

inline std::string decodePercent(const std::string &text) {
  std::string decoded;
  for (std::size_t n = 0; n < text.size(); ++n) {
    if (text[n] == '%' && n + 2 < text.size()) {
      decoded += static_cast<char>(
          std::strtol(text.substr(n + 1, 2).c_str(), nullptr, 16));
      n += 2;
    } else {
      decoded += text[n];
    }
  }
  return decoded;
}

/// The platform's metadata store: linearizable, keeps its whole history.
class Store {
public:
  explicit Store(Record &log)
      : Log(log), Http([this](int fd) { serve(fd); }) {}

  [[nodiscard]] int port() const { return Http.port(); }

  /// Writes an item as the operator or a runner does.
  long long put(const std::string &key, const std::string &value,
                bool logged = true) {
    const std::lock_guard lock(Guard);
    const long long revision = write(key, value, 0);
    if (logged)
      Log.line("store: acknowledged write of " + key + " at revision " +
               std::to_string(revision));
    return revision;
  }
  /// Removes an item; returns the time of the acknowledgement.
  long long remove(const std::string &key) {
    const std::lock_guard lock(Guard);
    erase(key);
    Log.line("store: acknowledged removal of " + key + " at revision " +
             std::to_string(Revision));
    return nowMs();
  }
  [[nodiscard]] std::optional<std::string> get(const std::string &key) {
    const std::lock_guard lock(Guard);
    const auto it = Items.find(key);
    return it == Items.end() ? std::nullopt : std::optional(it->second.Value);
  }
  /// Closes the connections of the watches that are waiting.
  void cutWaitingWatches() {
    const std::lock_guard lock(Guard);
    for (const int it : WatchConnections)
      shutdown(it, SHUT_RDWR);
    Log.line("store: cut " + std::to_string(WatchConnections.size()) +
             " waiting watches");
  }
  [[nodiscard]] std::size_t waitingWatches() {
    const std::lock_guard lock(Guard);
    return WatchConnections.size();
  }

private:
  struct Item {
    std::string Value;
    long long Revision = 0;
    long long Created = 0;
    long long Lease = 0;
  };
  struct Event {
    std::string Key;
    long long Revision = 0;
    std::optional<Item> Written;
  };
  struct Lease {
    long long TtlMs = 0;
    long long EndsAt = 0;
  };

  long long write(const std::string &key, const std::string &value,
                  long long lease) {
    Item &item = Items[key];
    ++Revision;
    if (item.Created == 0)
      item.Created = Revision;
    item.Value = value;
    item.Revision = Revision;
    item.Lease = lease;
    History.push_back({key, Revision, item});
    Changed.notify_all();
    return Revision;
  }
  void erase(const std::string &key) {
    if (Items.erase(key) == 0)
      return;
    History.push_back({key, ++Revision, std::nullopt});
    Changed.notify_all();
  }
  void expireLeases() {
    for (auto it = Leases.begin(); it != Leases.end();) {
      if (nowMs() < it->second.EndsAt) {
        ++it;
        continue;
      }
      const long long lease = it->first;
      it = Leases.erase(it);
      endLease(lease);
    }
  }
  void endLease(long long lease) {
    std::vector<std::string> held;
    for (const auto &[key, item] : Items) {
      if (item.Lease == lease)
        held.push_back(key);
    }
    for (const std::string &it : held)
      erase(it);
  }

  static Json toJson(const std::string &key, const Item &item) {
    return {{"key", key},
            {"value", encodeBase64(item.Value)},
            {"revision", item.Revision},
            {"created", item.Created},
            {"lease", item.Lease}};
  }

  static std::map<std::string, std::string> queryOf(const std::string &target) {
    std::map<std::string, std::string> query;
    const std::size_t mark = target.find('?');
    if (mark == std::string::npos)
      return query;
    std::istringstream pairs(target.substr(mark + 1));
    std::string pair;
    while (std::getline(pairs, pair, '&')) {
      const std::size_t equals = pair.find('=');
      query[pair.substr(0, equals)] =
          equals == std::string::npos ? ""
                                      : decodePercent(pair.substr(equals + 1));
    }
    return query;
  }

  static std::string json(int status, const Json &body) {
    return response(status, "Content-Type: application/json\r\n", body.dump());
  }

  void serve(int fd) {
    Reader reader(fd);
    for (;;) {
      Message request;
      if (!reader.read(request, true, 3'600'000))
        return;
      const std::string answer = handle(fd, request);
      if (answer.empty() || !sendAll(fd, answer))
        return;
    }
  }

  std::string handle(int fd, const Message &request) {
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    auto query = queryOf(target);
    std::unique_lock lock(Guard);
    expireLeases();
    if (path == "/v1/kv-key")
      return key(query["key"]);
    if (path == "/v1/kv-range")
      return range(query["pathPrefix"], query["after"]);
    if (path == "/v1/kv-watch")
      return watch(lock, fd, query["pathPrefix"],
                   std::atoll(query["after"].c_str()),
                   std::atoll(query["waitMs"].c_str()));
    if (path == "/v1/kv-txn")
      return transact(Json::parse(request.Body));
    if (path == "/v1/kv-lease") {
      const long long ttl = Json::parse(request.Body).at("ttlMs");
      Leases[++LastLease] = {ttl, nowMs() + ttl};
      return json(200, {{"lease", LastLease}, {"ttlMs", ttl}});
    }
    const long long id = std::atoll(path.substr(path.rfind('/') + 1).c_str());
    const auto lease = Leases.find(id);
    if (lease == Leases.end())
      return json(404, Json::object());
    if (path.starts_with("/v1/kv-keep/")) {
      lease->second.EndsAt = nowMs() + lease->second.TtlMs;
      return json(200, {{"ttlMs", lease->second.TtlMs}});
    }
    Leases.erase(lease);
    endLease(id);
    return json(200, Json::object());
  }

  std::string key(const std::string &name) {
    const auto it = Items.find(name);
    return it == Items.end() ? json(404, Json::object())
                             : json(200, toJson(name, it->second));
  }

  std::string range(const std::string &prefix, const std::string &after) {
    constexpr std::size_t PageSize = 50;
    Json entries = Json::array();
    bool more = false;
    for (auto it = Items.upper_bound(after); it != Items.end(); ++it) {
      if (!it->first.starts_with(prefix))
        continue;
      if (entries.size() == PageSize) {
        more = true;
        break;
      }
      entries.push_back(toJson(it->first, it->second));
    }
    return json(200,
                {{"entries", entries}, {"hasMore", more}, {"at", Revision}});
  }

  std::string watch(std::unique_lock<std::mutex> &lock, int fd,
                    const std::string &prefix, long long after,
                    long long waitMs) {
    const long long end = nowMs() + waitMs;
    WatchConnections.insert(fd);
    Json events = Json::array();
    for (;;) {
      expireLeases();
      for (const Event &it : History) {
        if (it.Revision <= after || !it.Key.starts_with(prefix))
          continue;
        events.push_back(it.Written ? toJson(it.Key, *it.Written)
                                    : Json{{"key", it.Key},
                                           {"revision", it.Revision},
                                           {"deleted", true}});
      }
      char byte = 0;
      const bool cut = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
      if (!events.empty() || cut || nowMs() >= end)
        break;
      Changed.wait_for(lock, std::chrono::milliseconds(20));
    }
    WatchConnections.erase(fd);
    return json(200, {{"events", events}, {"at", Revision}});
  }

  std::string transact(const Json &body) {
    bool holds = true;
    Json current = Json::array();
    for (const Json &it : body.at("expectedRevision")) {
      const auto item = Items.find(it.at("key").get<std::string>());
      const long long revision =
          item == Items.end() ? 0 : item->second.Revision;
      holds = holds && revision == it.at("revision").get<long long>();
      if (item != Items.end())
        current.push_back(toJson(item->first, item->second));
    }
    if (!holds)
      return json(412, {{"entries", current}});
    for (const Json &it : body.at("write")) {
      const std::string name = it.at("key");
      if (name.starts_with("op/") || name.starts_with("servers/"))
        return json(403, Json::object());
      const long long lease = it.value("lease", 0LL);
      if (lease != 0 && !Leases.contains(lease))
        return json(404, Json::object());
    }
    for (const Json &it : body.at("write")) {
      const std::string name = it.at("key");
      const std::string value = decodeBase64(it.at("value"));
      write(name, value, it.value("lease", 0LL));
      if (name.starts_with("status/"))
        Log.line("store: " + name + " = " + value);
    }
    for (const Json &it : body.at("remove"))
      erase(it.get<std::string>());
    return json(200, {{"revision", Revision}});
  }

  Record &Log;
  std::mutex Guard;
  std::condition_variable Changed;
  std::map<std::string, Item> Items;
  std::vector<Event> History;
  std::map<long long, Lease> Leases;
  std::set<int> WatchConnections;
  long long Revision = 100;
  long long LastLease = 7000;
  Server Http; ///< last: its threads use the members above
};

// --------------------------------------------------------------- runners

/// A runner of a plain service. Sound unless a case sets `Respond`.
class Runner {
public:
  /// Answers a request that is for this runner; returns false to close.
  using Responder =
      std::function<bool(Runner &, const Message &, Reader &, int fd)>;

  Runner(Record &log, Store &store, std::string id, std::string service,
         std::string version = "v1")
      : Log(log), Registry(store), Id(std::move(id)),
        Service(std::move(service)), Version(std::move(version)),
        Born(std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count()),
        Http([this](int fd) { serve(fd); }) {}
  ~Runner() { unregister(); }

  std::string id() const { return Id; }
  [[nodiscard]] int port() const { return Http.port(); }

  /// Registers the runner and repeats its entry every 1.2 s.
  void enter() {
    writeEntry(true);
    Beating = true;
    Beats = std::thread([this] {
      long long next = nowMs() + 1'200;
      while (Beating) {
        sleepMs(10);
        if (nowMs() < next)
          continue;
        next += 1'200;
        const std::lock_guard lock(EntryGuard);
        if (Beating)
          writeEntry(false);
      }
    });
  }
  /// Removes the entry without a report of draining; the runner goes on to
  /// serve. Returns the time of the store's acknowledgement.
  long long leaveWithoutNotice() {
    {
      const std::lock_guard lock(EntryGuard);
      Beating = false;
    }
    const long long at = Registry.remove("servers/" + Id);
    Beats.join();
    return at;
  }
  /// The process of the runner ends at once; its entry is not renewed.
  void crash() {
    Log.line("runner " + Id + ": crashes");
    unregister();
    Http.stop();
  }

  Responder Respond; ///< none: answers 200 after WorkMs
  long long WorkMs = 20;
  std::string State = "available";

  /// How often each request ran here, with the time of its arrival.
  std::multimap<std::string, long long> runs() {
    const std::lock_guard lock(Guard);
    return Runs;
  }
  void countRun(const Message &request) {
    const std::lock_guard lock(Guard);
    Runs.emplace(request.field("Attempt-Id"), nowMs());
    Log.line("runner " + Id + ": runs " + request.field("Attempt-Id"));
  }
  std::string answerHead(const Message &request) const {
    return "Attempt-Id: " + request.field("Attempt-Id") +
           "\r\nResponse-Signature: " + Id + "." +
           request.field("Attempt-Id") + "\r\n";
  }

private:
  void writeEntry(bool logged) {
    Registry.put("servers/" + Id,
                 Json{{"service", Service},
                      {"address",
                       std::string(LoopbackHost) + ":" + std::to_string(port())},
                      {"zone", "kochi-a"},
                      {"version", Version},
                      {"slots", 6},
                      {"state", State},
                      {"coldRemainingMs", 0},
                      {"sequenceNumber", ++Sequence},
                      {"born", Born}}
                     .dump(),
                 logged);
  }
  void unregister() {
    if (!Beating.exchange(false))
      return;
    Beats.join();
  }

  void serve(int fd) {
    Reader reader(fd);
    for (;;) {
      Message request;
      if (!reader.readHead(request, 60'000))
        return;
      const std::string expected = request.field("Expected-Instance");
      if (!expected.empty() && expected != Id) {
        reader.readBody(request, true, 10'000);
        sendAll(fd, response(421, "Not-Executed: 1\r\nInstance-Id: " + Id +
                                      "\r\nAttempt-Id: " +
                                      request.field("Attempt-Id") + "\r\n",
                             ""));
        continue;
      }
      if (Respond) {
        if (!Respond(*this, request, reader, fd))
          return;
        continue;
      }
      if (!reader.readBody(request, true, 10'000))
        return;
      countRun(request);
      sleepMs(WorkMs);
      if (!sendAll(fd, response(200, answerHead(request),
                                "answer to " + request.field("Attempt-Id"))))
        return;
    }
  }

  Record &Log;
  Store &Registry;
  std::string Id;
  std::string Service;
  std::string Version;
  long long Born;
  std::atomic<bool> Beating{false};
  std::thread Beats;
  std::mutex EntryGuard;
  std::atomic<long long> Sequence{0};
  std::mutex Guard;
  std::multimap<std::string, long long> Runs;
  Server Http; ///< last: its threads use the members above
};

// --------------------------------------------------------------- gateways

/// The addresses of one gateway.
struct GatewayPorts {
  int Callers = freePort();
  int Readiness = freePort();
  int Peers = freePort();
  int Metrics = freePort();
};

/// Returns the settings of a gateway: deploy/gateway.ini, filled in with the
/// values of the sheet of lawnbook.
inline std::string settingsOf(const std::string &name,
                              const GatewayPorts &ports, int storePort) {
  const auto at = [](int port) {
    return std::string(LoopbackHost) + ":" + std::to_string(port) + "\n";
  };
  return "[process]\ninstance = " + name +
         "\nfailure_domain = kochi-a\ngrace_period = 8s\n\n[listen]\n"
         "callers = " +
         at(ports.Callers) + "readiness = " + at(ports.Readiness) +
         "peers = " + at(ports.Peers) + "metrics = " + at(ports.Metrics) +
         "\n[regions]\nkochi-a = kerala\n\n[store]\naddress = " +
         at(storePort) +
         "\n[admission]\norder = off\n\n[promises]\nretry_ratio = 0.9\n"
         "retry_window = 10s\nretry_allowance = 54\n"
         "exposure_fraction = 0.15\nexposure_allowance = 30\n"
         "session_lifetime = 5s\nconfiguration_deadline = 2000ms\n"
         "drain_deadline = 2000ms\n";
}

/// A gateway process, started as the deploy file says.
class Gateway {
public:
  Gateway(Record &log, std::string name, const GatewayPorts &ports,
          int storePort, const std::string &folder)
      : Log(log), Name(std::move(name)), Ports(ports),
        SettingsFile(folder + "/" + Name + ".ini"),
        LogFile(folder + "/" + Name + ".log") {
    std::ofstream(SettingsFile) << settingsOf(Name, Ports, storePort);
  }
  ~Gateway() { kill(); }
  Gateway(const Gateway &) = delete;
  Gateway &operator=(const Gateway &) = delete;

  void start() {
    const char *const program =
        "target/programs/cowslipridge-gateway/cowslipridge-gateway";
    const char *const chosen = std::getenv("REVIEW_GATEWAY");
    const std::string path = chosen != nullptr ? chosen : program;
    if (access(path.c_str(), X_OK) != 0)
      giveUp("no program at " + path);
    Pid = fork();
    if (Pid == 0) {
      // The gateway must not outlive the case, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, STDOUT_FILENO);
      dup2(out, STDERR_FILENO);
      setenv("COWSLIPRIDGE_NODE_FILE", SettingsFile.c_str(), 1);
      execl(path.c_str(), path.c_str(), static_cast<char *>(nullptr));
      _exit(127);
    }
    Log.line(Name + ": started");
    const long long end = nowMs() + 15'000;
    while (!isReady()) {
      if (nowMs() > end)
        giveUp(Name + " does not become ready");
      sleepMs(20);
    }
    Log.line(Name + ": ready");
  }

  [[nodiscard]] bool isReady() const {
    const int fd = connectTo(Ports.Readiness);
    if (fd < 0)
      return false;
    sendAll(fd, "GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
    Reader reader(fd);
    Message answer;
    const bool ready =
        reader.read(answer, false, 1'000) && answer.status() == 200;
    close(fd);
    return ready;
  }

  void signal(int number) const {
    if (Pid > 0)
      ::kill(Pid, number);
  }
  /// Ends the process, if it runs.
  void kill() {
    if (Pid <= 0)
      return;
    ::kill(Pid, SIGCONT);
    ::kill(Pid, SIGKILL);
    waitpid(Pid, nullptr, 0);
    Pid = 0;
  }
  /// Returns whether the process has ended by itself.
  bool hasEnded() {
    if (Pid > 0 && waitpid(Pid, nullptr, WNOHANG) == Pid)
      Pid = 0;
    return Pid == 0;
  }
  [[nodiscard]] pid_t pid() const { return Pid; }
  [[nodiscard]] const GatewayPorts &ports() const { return Ports; }
  [[nodiscard]] std::string logFile() const { return LogFile; }

private:
  Record &Log;
  std::string Name;
  GatewayPorts Ports;
  std::string SettingsFile;
  std::string LogFile;
  pid_t Pid = 0;
};

// ---------------------------------------------------------- configuration

inline Json route(const std::string &name, const std::string &prefix,
                  const std::string &kind, const std::string &service,
                  int attempts, int timeoutMs, int targetMs) {
  return {{"name", name},
          {"host", "desk.example"},
          {"pathPrefix", prefix},
          {"routeKind", kind},
          {"timeoutMs", timeoutMs},
          {"targetLatencyMs", targetMs},
          {"priority", 1},
          {"service", service},
          {"maxAttempts", attempts},
          {"public", false}};
}

/// The routes of a small deployment: unsafe and safe calls of a plain service.
inline Json configuration() {
  return {{"version", 7},
          {"routes",
           {route("result-post", "/post/", "non_idempotent", "clubdesk", 1,
                  1'000, 150),
            route("ladder-read", "/read/", "idempotent", "clubdesk", 2, 1'000,
                  150)}},
          {"services",
           {{{"name", "clubdesk"},
             {"healthCheckPath", "/health"},
             {"connectionLimit", 100}}}},
          {"limits",
           {{"maxHeaderBytes", 16'384},
            {"maxBodyBytes", 4'194'304},
            {"headerTimeoutMs", 3'000},
            {"idleTimeoutMs", 15'000}}},
          {"tenants", {{{"name", "club"}, {"apiKeys", {"key-of-club"}}}}}};
}

// ---------------------------------------------------------------- clients

inline std::string requestBytes(const std::string &method,
                                const std::string &path, const std::string &id,
                                int deadlineMs, const std::string &body = "",
                                const std::string &fields = "") {
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\n"
                     "Attempt-Id: " +
                     id + "\r\nAuthorization: Token key-of-club\r\n"
                     "Deadline-Remaining: " +
                     std::to_string(deadlineMs) + "\r\n" + fields;
  if (!body.empty())
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

/// A temporary folder that is removed at the end.
class TempFolder {
public:
  TempFolder() {
    char path[] = "/tmp/review-XXXXXX";
    if (mkdtemp(path) == nullptr)
      giveUp("no temporary folder");
    Path = path;
  }
  ~TempFolder() {
    if (std::getenv("REVIEW_KEEP") == nullptr)
      std::system(("rm -rf '" + Path + "'").c_str());
  }
  TempFolder(const TempFolder &) = delete;
  TempFolder &operator=(const TempFolder &) = delete;
  [[nodiscard]] const std::string &path() const { return Path; }

private:
  std::string Path;
};

/// Returns whether the case is to be played with its disruption.
inline bool withTrouble() {
  const char *value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

} // namespace review
