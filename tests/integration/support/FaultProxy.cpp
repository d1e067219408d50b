#include "FaultProxy.hpp"

#include "ProxyPipe.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>
#include <vector>

namespace cowslipridge::integration {

namespace {

constexpr std::chrono::milliseconds IdlePollTimeout{1'000};

sockaddr_in endpoint(const std::string &address, std::uint16_t port) {
  sockaddr_in it = {};
  it.sin_family = AF_INET;
  it.sin_port = htons(port);
  ::inet_pton(AF_INET, address.c_str(), &it.sin_addr);
  return it;
}

const sockaddr *asSockaddr(const sockaddr_in &it) {
  return reinterpret_cast<const sockaddr *>(&it);
}

/// Makes close() send a TCP reset instead of FIN.
void resetOnClose(int handle) {
  const linger it = {1, 0};
  ::setsockopt(handle, SOL_SOCKET, SO_LINGER, &it, sizeof(it));
}

int listenAt(const sockaddr_in &local) {
  const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int yes = 1;
  ::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  if (::bind(handle, asSockaddr(local), sizeof(local)) != 0 ||
      ::listen(handle, SOMAXCONN) != 0)
    throw std::system_error(errno, std::generic_category(),
                            "fault proxy cannot listen");
  return handle;
}

} // namespace

/// The connection of one caller and the matching connection to the target.
class FaultProxy::Connection {
public:
  Connection(int caller, const sockaddr_in &target)
      : Caller(caller),
        Target(
            ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)) {
    const int yes = 1;
    ::setsockopt(Caller, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    ::setsockopt(Target, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    const int rc = ::connect(Target, asSockaddr(target), sizeof(target));
    Failed = rc != 0 && errno != EINPROGRESS;
  }

  ~Connection() {
    if (Failed) {
      resetOnClose(Caller);
      resetOnClose(Target);
    }
    ::close(Caller);
    ::close(Target);
  }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  /// Appends the poll entries of the caller's and the target's socket.
  void addTo(std::vector<pollfd> &polled, const LinkFaults &toTarget,
             const LinkFaults &toCaller, TimePoint now) const {
    polled.push_back(
        {Caller, events(ToTarget, toTarget, ToCaller, toCaller, now), 0});
    polled.push_back(
        {Target, events(ToCaller, toCaller, ToTarget, toTarget, now), 0});
  }

  void advance(const LinkFaults &toTarget, const LinkFaults &toCaller,
               short callerEvents, short targetEvents, TimePoint now) {
    if ((targetEvents & (POLLERR | POLLNVAL)) != 0 ||
        (callerEvents & (POLLERR | POLLNVAL)) != 0)
      Failed = true;
    if (readable(callerEvents) && ToTarget.wantsBytes(toTarget))
      check(ToTarget.readFrom(Caller, toTarget, now));
    if (readable(targetEvents) && ToCaller.wantsBytes(toCaller))
      check(ToCaller.readFrom(Target, toCaller, now));
    if ((targetEvents & POLLOUT) != 0 || ConnectedOnce) {
      ConnectedOnce = true;
      check(ToTarget.writeTo(Target, toTarget, now));
    }
    check(ToCaller.writeTo(Caller, toCaller, now));
  }

  [[nodiscard]] bool ended() const {
    return Failed || (ToTarget.finished() && ToCaller.finished());
  }
  void fail() { Failed = true; }

  [[nodiscard]] std::optional<TimePoint>
  nextWrite(const LinkFaults &toTarget, const LinkFaults &toCaller) const {
    const auto first = ToTarget.nextWrite(toTarget);
    const auto second = ToCaller.nextWrite(toCaller);
    if (first && second)
      return std::min(*first, *second);
    return first ? first : second;
  }

private:
  static bool readable(short seen) { return (seen & (POLLIN | POLLHUP)) != 0; }

  void check(bool alive) {
    if (!alive)
      Failed = true;
  }

  /// Returns the poll events of a socket that is read into `out` and written
  /// from `in`.
  [[nodiscard]] short events(const ProxyPipe &out, const LinkFaults &outFaults,
                             const ProxyPipe &in, const LinkFaults &inFaults,
                             TimePoint now) const {
    const auto due = in.nextWrite(inFaults);
    int wanted = 0;
    if (out.wantsBytes(outFaults))
      wanted |= POLLIN;
    if ((due && *due <= now) || !ConnectedOnce)
      wanted |= POLLOUT;
    return static_cast<short>(wanted);
  }

  int Caller;
  int Target;
  ProxyPipe ToTarget;
  ProxyPipe ToCaller;
  bool Failed = false;
  bool ConnectedOnce = false;
};

/// The I/O thread of one proxy.
class FaultProxy::Loop {
public:
  Loop(FaultProxy &owner, const sockaddr_in &local, const sockaddr_in &target)
      : Owner(owner), Local(local), Remote(target), Listener(listenAt(local)),
        WakeEvent(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)),
        Thread([this] { run(); }) {}

  ~Loop() {
    {
      const std::lock_guard lock(Mutex);
      Stopping = true;
    }
    wake();
    Thread.join();
    Connections.clear();
    if (Listener >= 0)
      ::close(Listener);
    ::close(WakeEvent);
  }
  Loop(const Loop &) = delete;
  Loop &operator=(const Loop &) = delete;

  void change(const LinkFaults *toTarget, const LinkFaults *toCaller) {
    {
      const std::lock_guard lock(Mutex);
      if (toTarget != nullptr)
        ToTarget = *toTarget;
      if (toCaller != nullptr)
        ToCaller = *toCaller;
    }
    wake();
  }

  void resetConnections() {
    {
      const std::lock_guard lock(Mutex);
      for (const auto &it : Connections)
        it->fail();
      Connections.clear();
      Owner.OpenCount = 0;
    }
    wake();
  }

  void setRefusing(bool refusing) {
    const std::lock_guard lock(Mutex);
    if (refusing && Listener >= 0) {
      // After close() alone the socket keeps listening while the loop polls it.
      ::shutdown(Listener, SHUT_RDWR);
      ::close(Listener);
      Listener = -1;
    } else if (!refusing && Listener < 0) {
      Listener = listenAt(Local);
    }
    wake();
  }

private:
  void wake() const {
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto n = ::write(WakeEvent, &one, sizeof(one));
  }

  void run() {
    std::vector<pollfd> polled;
    std::vector<std::shared_ptr<Connection>> seen;
    while (collect(polled, seen)) {
      ::poll(polled.data(), polled.size(), pollTimeout());
      const std::lock_guard lock(Mutex);
      std::uint64_t count = 0;
      [[maybe_unused]] const auto n = ::read(WakeEvent, &count, sizeof(count));
      advanceAll(polled, seen);
      acceptAll();
      Owner.OpenCount = Connections.size();
    }
  }

  /// Fills the poll list; false when the loop must stop. `seen` keeps the
  /// sockets open while they are polled.
  bool collect(std::vector<pollfd> &polled,
               std::vector<std::shared_ptr<Connection>> &seen) {
    const std::lock_guard lock(Mutex);
    if (Stopping)
      return false;
    const TimePoint now = std::chrono::steady_clock::now();
    polled = {{WakeEvent, POLLIN, 0}, {Listener, POLLIN, 0}};
    seen.assign(Connections.begin(), Connections.end());
    for (const auto &it : seen)
      it->addTo(polled, ToTarget, ToCaller, now);
    return true;
  }

  int pollTimeout() {
    const std::lock_guard lock(Mutex);
    const TimePoint now = std::chrono::steady_clock::now();
    auto wait = IdlePollTimeout;
    for (const auto &it : Connections)
      if (const auto due = it->nextWrite(ToTarget, ToCaller))
        wait = std::min(wait, std::chrono::ceil<std::chrono::milliseconds>(
                                  std::max(*due, now) - now));
    return static_cast<int>(wait.count());
  }

  void advanceAll(const std::vector<pollfd> &polled,
                  const std::vector<std::shared_ptr<Connection>> &seen) {
    const TimePoint now = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < seen.size(); ++i)
      if (!seen[i]->ended())
        seen[i]->advance(ToTarget, ToCaller, polled[2 + 2 * i].revents,
                         polled[3 + 2 * i].revents, now);
    Connections.remove_if([](const auto &it) { return it->ended(); });
  }

  void acceptAll() {
    while (Listener >= 0) {
      pollfd it = {Listener, POLLIN, 0};
      if (::poll(&it, 1, 0) <= 0)
        return;
      const int caller =
          ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
      if (caller < 0)
        return;
      ++Owner.AcceptedCount;
      Connections.push_back(std::make_shared<Connection>(caller, Remote));
    }
  }

  FaultProxy &Owner;
  sockaddr_in Local;
  sockaddr_in Remote;
  std::mutex Mutex;
  LinkFaults ToTarget;
  LinkFaults ToCaller;
  std::list<std::shared_ptr<Connection>> Connections;
  int Listener;
  int WakeEvent;
  bool Stopping = false;
  std::thread Thread;
};

FaultProxy::FaultProxy(const std::string &address, std::uint16_t port,
                       const std::string &targetAddress,
                       std::uint16_t targetPort)
    : Worker(std::make_unique<Loop>(*this, endpoint(address, port),
                                    endpoint(targetAddress, targetPort))) {}

FaultProxy::~FaultProxy() = default;

void FaultProxy::change(const LinkFaults *toTarget,
                        const LinkFaults *toCaller) {
  Worker->change(toTarget, toCaller);
}

void FaultProxy::setFaultsToTarget(const LinkFaults &faults) {
  change(&faults, nullptr);
}

void FaultProxy::setFaultsToCaller(const LinkFaults &faults) {
  change(nullptr, &faults);
}

void FaultProxy::block() {
  LinkFaults faults;
  faults.Blocked = true;
  change(&faults, &faults);
}

void FaultProxy::clearFaults() {
  const LinkFaults none;
  change(&none, &none);
  setRefusing(false);
}

void FaultProxy::resetConnections() { Worker->resetConnections(); }

void FaultProxy::setRefusing(bool refusing) { Worker->setRefusing(refusing); }

} // namespace cowslipridge::integration
