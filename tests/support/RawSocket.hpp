#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace cowslipridge::support {

/// A plain TCP connection, for sending bytes that no HTTP library would.
class RawSocket {
public:
  RawSocket() = default;
  explicit RawSocket(int handle) : Handle(handle) {}
  ~RawSocket();
  RawSocket(RawSocket &&other) noexcept;
  RawSocket &operator=(RawSocket &&other) noexcept;
  RawSocket(const RawSocket &) = delete;
  RawSocket &operator=(const RawSocket &) = delete;

  /// Connects; check open() afterwards.
  static RawSocket connect(const std::string &address, std::uint16_t port);

  [[nodiscard]] bool open() const { return Handle >= 0; }
  bool send(std::string_view bytes) const;
  /// Reads until `mark` has come, the peer closed or time is up.
  std::string receiveUntil(std::string_view mark) const;
  /// Reads until the peer closed; `closed` tells whether it did in time.
  std::string receiveAll(bool &closed) const;
  void close();

private:
  /// Appends what comes next; false at the end or when time is up.
  bool receiveSome(std::string &bytes, bool &closed) const;

  int Handle = -1;
};

/// A listening TCP socket.
class RawListener {
public:
  RawListener(const std::string &address, std::uint16_t port);
  ~RawListener();
  RawListener(const RawListener &) = delete;
  RawListener &operator=(const RawListener &) = delete;

  /// Waits for the next connection; check open() on the result.
  [[nodiscard]] RawSocket accept() const;

private:
  int Handle = -1;
};

} // namespace cowslipridge::support
