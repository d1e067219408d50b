#pragma once

#include "soak/History.hpp"
#include "soak/Layout.hpp"

#include "cowslipridge/http1/Client.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace cowslipridge::soak {

/// The load of callers that keep their connections for as long as their gateway
/// lives, and that send a failed request again as the protocol allows it.
class Callers {
public:
  struct Settings {
    std::size_t CallersPerGateway = 6;
    core::Millis MaxPause{60}; ///< between two requests of a caller
    std::uint64_t Seed = 1;
    bool IsAlike = false; ///< all requests of a kind ask for the same
    /// Some refused requests are sent again under their id, and some callers
    /// leave before the response.
    bool Misbehaves = false;
  };

  Callers(boost::asio::io_context &loop, const core::Clock &clock,
          const Layout &layout, const Settings &settings, History &history);
  ~Callers();
  Callers(const Callers &) = delete;
  Callers &operator=(const Callers &) = delete;

  void start();
  /// Sends no further requests.
  void stop();

private:
  class Caller;
  std::vector<std::unique_ptr<Caller>> All;
};

inline constexpr const char *CallersHost = "shop.example";
inline constexpr const char *CallersKey = "key-1";
/// Time that callers wait for a response.
inline constexpr core::Millis CallerDeadline{3'000};

/// Key of the configuration in the store.
inline constexpr const char *ConfigurationKey = "op/config";
/// The configuration that the callers' requests need.
std::string configurationFor(const Layout &layout, std::int64_t version);

} // namespace cowslipridge::soak
