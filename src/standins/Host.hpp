#pragma once

#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/http/Server.hpp"
#include "standins/Faults.hpp"
#include "standins/Scheduler.hpp"
#include "standins/StandIn.hpp"

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <system_error>
#include <vector>

namespace cowslipridge::standins {

/// Serves one stand-in at one address, with the faults that PUT /debug/faults
/// enables. Faults do not apply to pages below /debug/.
class Host {
public:
  Host(const std::string &address, std::uint16_t port,
       std::shared_ptr<Scheduler> timer, std::shared_ptr<StandIn> service);
  ~Host();
  Host(const Host &) = delete;
  Host &operator=(const Host &) = delete;

  std::error_code open();
  void close();

private:
  /// Shared with delayed tasks, which may outlive the host.
  struct Shared {
    std::shared_ptr<Scheduler> Timer;
    std::shared_ptr<StandIn> Service;
    std::mutex Guard;
    Faults Active;
    core::Random Random;
    std::vector<std::shared_ptr<http::Responder>> HeldResponders;
    std::uint64_t Calls = 0;
  };

  static void handle(const std::shared_ptr<Shared> &shared,
                     http::Request request,
                     std::shared_ptr<http::Responder> responder);
  static void serve(const std::shared_ptr<Shared> &shared,
                    http::Request request,
                    std::shared_ptr<http::Responder> responder);
  static http::Response debug(Shared &shared, const http::Request &request);
  static http::Response replaceFaults(Shared &shared, const std::string &body);
  static bool shouldLoseReply(Shared &shared);

  std::shared_ptr<Shared> State;
  http::Server Listener;
};

} // namespace cowslipridge::standins
