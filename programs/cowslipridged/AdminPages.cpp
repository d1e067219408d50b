#include "AdminPages.hpp"

#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/entry/ApiKeys.hpp"
#include "cowslipridge/observe/EventCodec.hpp"

#include <openssl/crypto.h>

#include <charconv>

namespace cowslipridge::daemon {

using core::Errc;

namespace {

constexpr std::string_view AdminPath = "/admin/";

http::ServerSettings toServerSettings(const config::DaemonSettings &settings) {
  http::ServerSettings server;
  server.Address = settings.Address;
  server.Port = settings.HttpPort;
  server.MaxBodyBytes = settings.MaxBodyBytes;
  return server;
}

http::Response refuse(Errc reason, int status) {
  http::Problem problem;
  problem.Slug = core::slug(reason);
  problem.Title = core::make_error_code(reason).message();
  problem.Status = status;
  return http::makeProblem(problem);
}

http::Response makeText(int status, std::string body) {
  return {status, {{"Content-Type", "text/plain"}}, std::move(body)};
}

} // namespace

AdminPages::AdminPages(ProcessContext &process,
                       std::shared_ptr<RoleService> role)
    : Process(process), Role(std::move(role)),
      Listener(toServerSettings(process.Settings),
               [this](http::Request message,
                      std::shared_ptr<http::Responder> responder) {
                 handle(std::move(message), std::move(responder));
               }) {}

bool AdminPages::start() {
  const std::error_code ec = Listener.open();
  if (ec) {
    Process.Events.report(
        observe::EventNumber::SettingsRefused,
        {{}, {}, {}, "cannot bind the HTTP port: " + ec.message()});
  }
  return !ec;
}

void AdminPages::drain() { Listener.drain(); }

// Health checks and metrics scrapes do not delay the shutdown; the role tracks
// callers' requests.
bool AdminPages::idle() const { return true; }

void AdminPages::stop() { Listener.close(); }

void AdminPages::handle(http::Request message,
                        std::shared_ptr<http::Responder> responder) {
  const std::string path = message.path();
  const bool isAdminPage = path == "/healthz" || path == "/readyz" ||
                           path == "/metrics" || path.starts_with(AdminPath);
  if (isAdminPage)
    responder->respond(answer(message));
  else
    Role->handle(std::move(message), std::move(responder));
}

http::Response AdminPages::answer(const http::Request &message) {
  const std::string path = message.path();
  if (path == "/healthz")
    return makeText(200, "alive\n");
  if (path == "/readyz")
    return Role->ready() ? makeText(200, "ready\n")
                         : makeText(503, "not ready\n");
  if (path == "/metrics")
    return {200,
            {{"Content-Type", std::string(observe::ScrapeMediaType)}},
            Process.Metrics.scrape()};
  return answerAdmin(message);
}

bool AdminPages::isOperator(const http::Request &message) const {
  const std::string &expected = Process.Settings.AdminKeyHash;
  const auto key = entry::findBearerKey(message.Fields);
  if (!key || expected.empty())
    return false;
  const std::string hash = entry::sha256Hex(*key);
  return hash.size() == expected.size() &&
         CRYPTO_memcmp(hash.data(), expected.data(), hash.size()) == 0;
}

http::Response AdminPages::answerAdmin(const http::Request &message) {
  if (!isOperator(message))
    return refuse(Errc::Unauthenticated, 401);
  const std::string path = message.path();
  if (path == "/admin/status")
    return http::makeJson(200, Role->statusJson());
  if (path == "/admin/timeline")
    return timeline(message);
  if (path == "/admin/explain")
    return explain(message);
  return refuse(Errc::UnknownService, 404);
}

http::Response AdminPages::timeline(const http::Request &message) {
  const auto text = http::findQueryParameter(message.query(), "after");
  std::uint64_t after = 0;
  if (text)
    std::from_chars(text->data(), text->data() + text->size(), after);
  return http::makeJson(200,
                        observe::encodeEvents(Process.Events.since(after)));
}

http::Response AdminPages::explain(const http::Request &message) {
  const auto request = http::findQueryParameter(message.query(), "request");
  const std::string body =
      request ? Role->explainJson(core::RequestId(*request)) : std::string();
  return body.empty() ? refuse(Errc::Malformed, 404)
                      : http::makeJson(200, body);
}

} // namespace cowslipridge::daemon
