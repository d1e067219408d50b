#include "cowslipridge/runner/PlainRunner.hpp"

#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/runner/internal/GuardedCall.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace cowslipridge::runner {

using core::Outcome;

namespace {

/// Headers that the client sets anew for each connection, in lower case.
constexpr std::array<std::string_view, 9> HopByHop = {
    "connection", "content-length",    "host",
    "keep-alive", "proxy-connection",  "te",
    "trailer",    "transfer-encoding", "upgrade"};

std::string toLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

/// Receives one answer of a plain server.
class PlainCall final : public GuardedCall {
public:
  using GuardedCall::GuardedCall;

private:
  void onHead(int status, const http::Headers &fields) override {
    forwardHead(status, withoutHopByHop(fields));
  }
  void onChunk(std::string chunk) override { forwardData(std::move(chunk)); }
  void onComplete() override { finish({}, Outcome::Ran, {}); }
};

} // namespace

http::Headers withoutHopByHop(const http::Headers &fields) {
  http::Headers endToEnd;
  for (const http::Header &it : fields) {
    const std::string name = toLower(it.Name);
    if (std::find(HopByHop.begin(), HopByHop.end(), name) == HopByHop.end())
      endToEnd.push_back(it);
  }
  return endToEnd;
}

PlainRunner::PlainRunner(const std::string &base, core::Millis timeout)
    : Backend(base, timeout) {}

std::shared_ptr<RunningCall> PlainRunner::start(const Call &call,
                                                CallEvents events) {
  http::Request message = call.Message;
  message.Fields = withoutHopByHop(call.Message.Fields);
  message.Fields.push_back({"X-Request-Id", call.Request.str()});
  auto running = std::make_shared<PlainCall>(std::move(events));
  running->send(Backend, std::move(message),
                call.Idempotent ? http::Resend::IfSafe : http::Resend::Never);
  return running;
}

void PlainRunner::load(const core::VersionId & /*version*/,
                       core::FencingNumber /*fence*/,
                       std::function<void(std::error_code)> done) {
  done(core::Errc::NotAllowed);
}

} // namespace cowslipridge::runner
