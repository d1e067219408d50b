#include "cowslipridge/http1/Fetch.hpp"

#include <utility>

namespace cowslipridge::http1 {

namespace {

class ResponseCollector final : public CallEvents {
public:
  explicit ResponseCollector(std::function<void(FetchResult)> onDone)
      : OnDone(std::move(onDone)) {}

  void onHead(const ResponseHead &head) override {
    Result.Status = head.Status;
    Result.Fields = head.Fields;
  }
  void onData(std::string_view data) override { Result.Body += data; }
  void onEnd() override { OnDone(std::move(Result)); }
  void onFailure(CallFailure failure) override {
    OnDone({.Status = 0, .Fields = {}, .Body = {}, .Failure = failure});
  }

private:
  std::function<void(FetchResult)> OnDone;
  FetchResult Result;
};

} // namespace

std::shared_ptr<Call> fetch(Client &client, CallSpec spec,
                            std::function<void(FetchResult)> onDone) {
  return client.call(std::move(spec),
                     std::make_shared<ResponseCollector>(std::move(onDone)));
}

} // namespace cowslipridge::http1
