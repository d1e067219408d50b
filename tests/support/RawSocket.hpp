#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace cowslipridge::support {

/// A plain TCP connection, for sending bytes that no HTTP library would send.
class RawSocket {
public:
  RawSocket() = default;
  explicit RawSocket(int descriptor) : Descriptor(descriptor) {}
  ~RawSocket();
  RawSocket(RawSocket &&other) noexcept;
  RawSocket &operator=(RawSocket &&other) noexcept;
  RawSocket(const RawSocket &) = delete;
  RawSocket &operator=(const RawSocket &) = delete;

  /// Connects to a server; open() of the result is false on failure.
  static RawSocket connect(const std::string &address, std::uint16_t port);

  [[nodiscard]] bool open() const { return Descriptor >= 0; }
  bool send(std::string_view bytes) const;
  /// Reads until `delimiter` is received, the peer closes the connection or the
  /// timeout expires.
  std::string receiveUntil(std::string_view delimiter) const;
  /// Reads until the peer closes the connection. Sets `closed` to whether it
  /// did so before the timeout.
  std::string receiveAll(bool &closed) const;
  void close();

private:
  /// Appends the next bytes received. Returns false at the end of the stream or
  /// on timeout.
  bool receiveSome(std::string &bytes, bool &closed) const;

  int Descriptor = -1;
};

/// A listening TCP socket.
class RawListener {
public:
  RawListener(const std::string &address, std::uint16_t port);
  ~RawListener();
  RawListener(const RawListener &) = delete;
  RawListener &operator=(const RawListener &) = delete;

  /// Waits for the next connection; open() of the result is false on timeout.
  [[nodiscard]] RawSocket accept() const;

private:
  int Descriptor = -1;
};

} // namespace cowslipridge::support
