#include "cowslipridge/backing/CloudEventsRatings.hpp"

#include "cowslipridge/backing/internal/GradeCodec.hpp"
#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/core/UriEncoding.hpp"
#include "cowslipridge/http/Client.hpp"

#include <charconv>
#include <optional>
#include <utility>

namespace cowslipridge::backing {

namespace {

constexpr int Ok = 200;

std::optional<std::uint64_t> readCursor(const http::Headers &fields) {
  const auto text = http::findHeader(fields, "Grades-Cursor");
  if (!text)
    return std::nullopt;
  std::uint64_t cursor = 0;
  const char *end = text->data() + text->size();
  const auto [last, ec] = std::from_chars(text->data(), end, cursor);
  if (ec != std::errc() || last != end)
    return std::nullopt;
  return cursor;
}

core::Result<GradePage> readPage(const core::Result<http::Response> &response) {
  if (!response || response->Status != Ok)
    return core::Errc::StoreUnavailable;
  const auto cursor = readCursor(response->Fields);
  auto grades = internal::parseGrades(response->Body);
  if (!cursor || !grades)
    return core::Errc::Malformed;
  return GradePage{std::move(grades).value(), *cursor};
}

class CloudEventsRatings final : public Ratings {
public:
  CloudEventsRatings(const std::string &base, core::Millis timeout)
      : HttpClient(base, timeout) {}

  void fetch(const core::RunnerId &subject, std::uint64_t cursor,
             std::function<void(core::Result<GradePage>)> done) override {
    const std::string target =
        "/grades?subject=" + core::encodeComponent(subject.str()) +
        "&after=" + std::to_string(cursor);
    HttpClient.fetchAsync(
        {"GET", target, {}, ""},
        [done = std::move(done)](const core::Result<http::Response> &response) {
          done(readPage(response));
        });
  }

private:
  http::Client HttpClient;
};

} // namespace

std::shared_ptr<Ratings> makeCloudEventsRatings(const std::string &base,
                                                core::Millis timeout) {
  return std::make_shared<CloudEventsRatings>(base, timeout);
}

} // namespace cowslipridge::backing
