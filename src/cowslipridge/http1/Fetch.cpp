#include "cowslipridge/http1/Fetch.hpp"

#include <utility>

namespace cowslipridge::http1 {

namespace {

class Collector final : public CallEvents {
public:
  explicit Collector(std::function<void(FetchResult)> done)
      : Done(std::move(done)) {}

  void onHead(const ResponseHead &head) override {
    Result.Status = head.Status;
  }
  void onData(std::string_view data) override { Result.Body += data; }
  void onEnd() override { Done(std::move(Result)); }
  void onFailure(CallFailure failure) override { Done({0, {}, failure}); }

private:
  std::function<void(FetchResult)> Done;
  FetchResult Result;
};

} // namespace

std::shared_ptr<Call> fetch(Client &client, CallSpec spec,
                            std::function<void(FetchResult)> done) {
  return client.call(std::move(spec),
                     std::make_shared<Collector>(std::move(done)));
}

} // namespace cowslipridge::http1
