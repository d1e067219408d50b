#include "cowslipridge/backing/ConsulInstanceList.hpp"

#include "cowslipridge/backing/internal/InstanceCodec.hpp"
#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/core/UriEncoding.hpp"
#include "cowslipridge/http/Client.hpp"

#include <utility>

namespace cowslipridge::backing {

namespace {

constexpr int Ok = 200;

std::error_code checkAnswer(const core::Result<http::Response> &response) {
  if (!response || response->Status != Ok)
    return core::Errc::StoreUnavailable;
  return {};
}

class ConsulInstanceList final : public InstanceList {
public:
  ConsulInstanceList(const std::string &base, core::Millis timeout)
      : HttpClient(base, timeout) {}

  void publish(const InstanceRecord &record,
               std::function<void(std::error_code)> done) override {
    put("/v1/agent/service/register", internal::writeRegistration(record),
        std::move(done));
  }

  void withdraw(const core::InstanceId &name,
                std::function<void(std::error_code)> done) override {
    put("/v1/agent/service/deregister/" + core::encodeComponent(name.str()), "",
        std::move(done));
  }

  void fetch(std::function<void(core::Result<std::vector<InstanceRecord>>)>
                 done) override {
    HttpClient.fetchAsync(
        {"GET", "/v1/health/service/cowslipridge", {}, ""},
        [done = std::move(done)](const core::Result<http::Response> &response) {
          if (const auto ec = checkAnswer(response))
            done(ec);
          else
            done(internal::parseHealth(response->Body));
        });
  }

private:
  void put(std::string target, std::string body,
           std::function<void(std::error_code)> done) {
    HttpClient.fetchAsync(
        {"PUT",
         std::move(target),
         {{"Content-Type", "application/json"}},
         std::move(body)},
        [done = std::move(done)](const core::Result<http::Response> &response) {
          done(checkAnswer(response));
        });
  }

  http::Client HttpClient;
};

} // namespace

std::shared_ptr<InstanceList> makeConsulInstanceList(const std::string &base,
                                                     core::Millis timeout) {
  return std::make_shared<ConsulInstanceList>(base, timeout);
}

} // namespace cowslipridge::backing
