#include "cowslipridge/http1/Fetch.hpp"

#include <utility>

namespace cowslipridge::http1 {

namespace {

/// Longer responses fail.
constexpr std::size_t MaxBodyBytes = 32UL * 1024 * 1024;

class ResponseCollector final : public CallEvents {
public:
  explicit ResponseCollector(std::function<void(FetchResult)> onDone)
      : OnDone(std::move(onDone)) {}

  void onHead(const ResponseHead &head) override {
    Result.Status = head.Status;
    Result.Fields = head.Fields;
  }
  void onData(std::string_view data) override {
    Result.Body += data;
    if (Result.Body.size() <= MaxBodyBytes)
      return;
    const auto call = Handle;
    call->cancel();
    fail(CallFailure::Broken, "the body is too long");
  }
  void onEnd() override {
    Handle = nullptr;
    OnDone(std::move(Result));
  }
  void onFailure(CallFailure failure) override {
    fail(failure, Handle->progress().Defect);
  }

  void setHandle(std::shared_ptr<Call> call) { Handle = std::move(call); }

private:
  void fail(CallFailure failure, std::string defect) {
    Handle = nullptr;
    OnDone({.Status = 0,
            .Fields = {},
            .Body = {},
            .Failure = failure,
            .Defect = std::move(defect)});
  }

  /// Set until the end of the call, which holds this object.
  std::shared_ptr<Call> Handle;
  std::function<void(FetchResult)> OnDone;
  FetchResult Result;
};

} // namespace

std::shared_ptr<Call> fetch(Client &client, CallSpec spec,
                            std::function<void(FetchResult)> onDone) {
  const auto collector = std::make_shared<ResponseCollector>(std::move(onDone));
  auto call = client.call(std::move(spec), collector);
  collector->setHandle(call);
  return call;
}

} // namespace cowslipridge::http1
