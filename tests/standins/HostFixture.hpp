#pragma once

#include "cowslipridge/http/Client.hpp"
#include "standins/Host.hpp"

#include "support/Loopback.hpp"
#include "support/Waiting.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cowslipridge::standins {

constexpr core::Millis CallTimeout{5'000};

/// Fixture for tests against stand-ins that run in the test process.
class HostFixture : public ::testing::Test {
protected:
  /// Serves `service` and returns its base address.
  std::string host(std::shared_ptr<StandIn> service) {
    const std::uint16_t port = support::nextPort();
    Hosts.push_back(std::make_unique<Host>(support::loopbackAddress(), port,
                                           Timer, std::move(service)));
    EXPECT_FALSE(Hosts.back()->open());
    return support::baseUrl(port);
  }

  static http::Response call(const std::string &base, http::Request request) {
    http::Client client(base, CallTimeout);
    const auto response = client.fetch(std::move(request));
    EXPECT_TRUE(response) << response.error().message();
    return response ? *response : http::Response{0, {}, ""};
  }

  static nlohmann::json page(const std::string &base,
                             const std::string &target) {
    return nlohmann::json::parse(call(base, {"GET", target, {}, ""}).Body);
  }

  static void setFaults(const std::string &base, const nlohmann::json &faults) {
    const auto response =
        call(base, {"PUT", "/debug/faults", {}, faults.dump()});
    EXPECT_EQ(response.Status, 200);
  }

  std::shared_ptr<Scheduler> Timer = std::make_shared<Scheduler>();
  std::vector<std::unique_ptr<Host>> Hosts;
};

/// Starts an asynchronous call and returns the value passed to its callback.
template <typename T>
T await(const std::function<void(std::function<void(T)>)> &start) {
  auto result = std::make_shared<support::EventualValue<T>>();
  start([result](T value) { result->set(std::move(value)); });
  auto value = result->get();
  if (!value)
    throw std::runtime_error("timed out before the callback was called");
  return *value;
}

} // namespace cowslipridge::standins
