#include "cowslipridge/backing/WeightStore.hpp"

#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/core/UriEncoding.hpp"
#include "cowslipridge/http/Client.hpp"

#include <charconv>
#include <utility>

namespace cowslipridge::backing {

namespace {

constexpr int Ok = 200;
constexpr int NotFound = 404;
constexpr int TooManyRequests = 429;
/// Retry delay when Retry-After is missing, invalid or above MaxDelaySeconds.
constexpr core::Millis DefaultDelay{1'000};
constexpr int MaxDelaySeconds = 3'600;

core::Millis readDelay(const http::Headers &fields) {
  const auto text = http::findHeader(fields, "Retry-After");
  if (!text)
    return DefaultDelay;
  int seconds = 0;
  const char *end = text->data() + text->size();
  const auto [last, ec] = std::from_chars(text->data(), end, seconds);
  const bool usable = ec == std::errc() && last == end && seconds >= 0 &&
                      seconds <= MaxDelaySeconds;
  return usable ? core::Millis(1'000) * seconds : DefaultDelay;
}

core::Result<WeightAnswer>
readAnswer(const core::VersionId &version,
           const core::Result<http::Response> &response) {
  if (!response)
    return core::Errc::StoreUnavailable;
  switch (response->Status) {
  case Ok:
    return WeightAnswer(WeightSet{version, response->Body});
  case NotFound:
    return core::Errc::UnknownVersion;
  case TooManyRequests:
    return WeightAnswer(WeightsBusy{readDelay(response->Fields)});
  default:
    return core::Errc::StoreUnavailable;
  }
}

class WeightStoreClient final : public WeightStore {
public:
  WeightStoreClient(const std::string &base, core::Millis timeout)
      : HttpClient(base, timeout) {}

  void fetch(const core::VersionId &version,
             std::function<void(core::Result<WeightAnswer>)> done) override {
    HttpClient.fetchAsync(
        {"GET", "/weights/" + core::encodeComponent(version.str()), {}, ""},
        [version,
         done = std::move(done)](const core::Result<http::Response> &response) {
          done(readAnswer(version, response));
        });
  }

private:
  http::Client HttpClient;
};

} // namespace

std::shared_ptr<WeightStore> makeWeightStoreClient(const std::string &base,
                                                   core::Millis timeout) {
  return std::make_shared<WeightStoreClient>(base, timeout);
}

} // namespace cowslipridge::backing
