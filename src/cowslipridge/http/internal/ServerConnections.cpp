#include "cowslipridge/http/internal/ServerConnections.hpp"

#include "cowslipridge/core/Error.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include <thread>
#include <utility>

namespace cowslipridge::http::internal {

namespace {

/// An event loop and the thread that runs it.
class LoopThread {
public:
  LoopThread() : Work(boost::asio::make_work_guard(Loop)) {
    std::thread([this] { Loop.run(); }).detach();
  }
  boost::asio::io_context &loop() { return Loop; }

private:
  boost::asio::io_context Loop{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work;
};

http1::ClientLimits limits(core::Millis connectTimeout, core::Millis idleTime) {
  http1::ClientLimits limits;
  limits.ConnectTimeout = connectTimeout;
  limits.MaxIdleTime = idleTime;
  return limits;
}

} // namespace

boost::asio::io_context &clientLoop() {
  // Never destroyed: its thread runs as long as the process.
  static LoopThread &thread = *new LoopThread;
  return thread.loop();
}

std::shared_ptr<ServerConnections>
ServerConnections::create(BaseUrl base, core::Millis timeout) {
  return {new ServerConnections(std::move(base), timeout),
          [](ServerConnections *it) {
            boost::asio::post(clientLoop(), [it] { delete it; });
          }};
}

ServerConnections::ServerConnections(BaseUrl base, core::Millis timeout)
    : Base(std::move(base)), Timeout(timeout),
      Reusing(clientLoop(), Clock,
              limits(timeout, http1::ClientLimits().MaxIdleTime)),
      Single(clientLoop(), Clock, limits(timeout, core::Millis())) {}

void ServerConnections::resolve(
    std::function<void(std::error_code ec, const Endpoints &)> onDone) const {
  using boost::asio::ip::tcp;
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(Base.Host, ec);
  if (!ec) {
    const auto port = static_cast<std::uint16_t>(std::stoul(Base.Port));
    onDone({}, {http1::Endpoint(address, port)});
    return;
  }
  const auto resolver = std::make_shared<tcp::resolver>(clientLoop());
  resolver->async_resolve(
      Base.Host, Base.Port,
      [resolver, done = std::move(onDone)](const auto &failure,
                                           const auto &found) {
        Endpoints endpoints;
        for (const auto &it : found)
          endpoints.push_back(it.endpoint());
        done(failure || endpoints.empty()
                 ? make_error_code(core::Errc::RunnerUnavailable)
                 : std::error_code(),
             endpoints);
      });
}

} // namespace cowslipridge::http::internal
