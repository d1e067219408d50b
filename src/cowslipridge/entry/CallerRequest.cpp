#include "cowslipridge/entry/CallerRequest.hpp"

#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/entry/ApiKeys.hpp"

#include <nlohmann/json.hpp>
#include <openssl/rand.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace cowslipridge::entry {

using core::Errc;
using nlohmann::json;

namespace {

constexpr std::string_view ChatPath = "/v1/chat/completions";
constexpr std::string_view ServicesPath = "/services/";
constexpr std::size_t MaxIdempotencyKeyBytes = 256;

std::string toHex(std::uint64_t high, std::uint64_t low) {
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(high),
                static_cast<unsigned long long>(low));
  return text.data();
}

core::RequestId randomRequestId() {
  std::array<std::uint64_t, 2> bits{};
  RAND_bytes(reinterpret_cast<unsigned char *>(bits.data()), sizeof(bits));
  return core::RequestId("r-" + toHex(bits[0], bits[1]));
}

// Derives the id from the idempotency key, so that all retries have the same id
// and are billed once.
core::RequestId keyedRequestId(const core::OrganisationId &organisation,
                               const core::ServiceId &service,
                               const std::string &key) {
  std::string text = organisation.str();
  text += '\0';
  text += service.str();
  text += '\0';
  text += key;
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return core::RequestId("k-" + toHex(hash.high64, hash.low64));
}

std::string contentText(const json &content) {
  if (content.is_string())
    return content.get<std::string>();
  std::string text;
  if (!content.is_array())
    return text;
  for (const json &it : content) {
    if (it.is_object() && it.contains("text") && it["text"].is_string())
      text += it["text"].get<std::string>();
  }
  return text;
}

std::string promptText(const json &messages) {
  std::string text;
  for (const json &it : messages) {
    if (!it.is_object())
      continue;
    text += it.value("role", "");
    text += '\n';
    if (it.contains("content"))
      text += contentText(it["content"]);
    text += '\n';
  }
  return text;
}

core::Result<CallerRequest> parseChat(http::Request &message) {
  if (message.Method != "POST")
    return Errc::Malformed;
  const json body = json::parse(message.Body, nullptr, false);
  if (!body.is_object())
    return Errc::Malformed;
  const auto model = body.find("model");
  const auto messages = body.find("messages");
  if (model == body.end() || !model->is_string() || messages == body.end() ||
      !messages->is_array())
    return Errc::Malformed;
  CallerRequest request;
  request.Service = core::ServiceId(model->get<std::string>());
  request.Kind = config::ServiceKind::Model;
  const auto stream = body.find("stream");
  request.Stream =
      stream != body.end() && stream->is_boolean() && stream->get<bool>();
  request.Prompt = digestPrompt(promptText(*messages));
  request.Target = ChatPath;
  return request;
}

core::Result<CallerRequest> parsePlain(const http::Request &message) {
  std::string rest = message.Target.substr(ServicesPath.size());
  const std::size_t end = rest.find_first_of("/?");
  CallerRequest request;
  request.Service = core::ServiceId(rest.substr(0, end));
  request.Kind = config::ServiceKind::Plain;
  rest = end == std::string::npos ? "/" : rest.substr(end);
  request.Target = rest.starts_with('/') ? rest : "/" + rest;
  if (request.Service.empty())
    return Errc::Malformed;
  return request;
}

bool isSafeMethod(const std::string &method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

// The declared call with the longest matching prefix decides. An undeclared
// call is idempotent only if its method is safe.
bool isIdempotentCall(const config::ServiceDeclaration &service,
                      const std::string &method, const std::string &path) {
  const config::CallDeclaration *best = nullptr;
  for (const config::CallDeclaration &it : service.Calls) {
    if (it.Method != method || !path.starts_with(it.PathPrefix))
      continue;
    if (best == nullptr || it.PathPrefix.size() > best->PathPrefix.size())
      best = &it;
  }
  return best == nullptr ? isSafeMethod(method) : best->Idempotent;
}

// Drops the caller's API key and the project's own headers, which are not meant
// for the runner.
http::Headers forwardedFields(const http::Headers &fields) {
  http::Headers forwarded;
  for (const http::Header &it : fields) {
    std::string name = it.Name;
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    if (name != "authorization" && !name.starts_with("cowslipridge-"))
      forwarded.push_back(it);
  }
  return forwarded;
}

core::Result<core::Millis> parseTimeLimit(const http::Headers &fields,
                                          core::Millis declared) {
  const auto text = http::findHeader(fields, "Cowslipridge-Deadline-Ms");
  if (!text)
    return declared;
  std::int64_t requested = 0;
  const char *end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, requested);
  if (parsed.ec != std::errc() || parsed.ptr != end || requested <= 0)
    return Errc::Malformed;
  return std::min(declared, core::Millis(requested));
}

std::error_code complete(CallerRequest &request,
                         const config::ServiceDeclaration &service,
                         http::Request &message) {
  request.IdempotencyKey =
      http::findHeader(message.Fields, "Idempotency-Key").value_or("");
  if (request.IdempotencyKey.size() > MaxIdempotencyKeyBytes)
    return Errc::Malformed;
  const auto limit = parseTimeLimit(message.Fields, service.Deadline);
  if (!limit)
    return limit.error();
  request.TimeLimit = *limit;
  request.SessionText =
      http::findHeader(message.Fields, "Cowslipridge-Session").value_or("");
  request.Request = request.IdempotencyKey.empty()
                        ? randomRequestId()
                        : keyedRequestId(request.Organisation, request.Service,
                                         request.IdempotencyKey);
  request.Method = message.Method;
  if (request.Kind == config::ServiceKind::Plain) {
    const std::string path = request.Target.substr(0, request.Target.find('?'));
    request.Idempotent = isIdempotentCall(service, message.Method, path);
    request.Fields = forwardedFields(message.Fields);
  }
  request.Body = std::move(message.Body);
  return {};
}

} // namespace

bool isCallerPath(const std::string &path) {
  return path == ChatPath || path.starts_with(ServicesPath);
}

core::Result<CallerRequest>
parseRequest(std::shared_ptr<const config::Bundle> bundle,
             http::Request message) {
  const bool isChat = message.path() == ChatPath;
  core::Result<CallerRequest> parsed =
      isChat ? parseChat(message) : parsePlain(message);
  if (!parsed)
    return parsed.error();
  CallerRequest request = std::move(parsed).value();
  const config::ServiceDeclaration *service =
      bundle->findService(request.Service);
  if (service == nullptr || service->Kind != request.Kind)
    return isKnownKey(*bundle, message.Fields) ? Errc::UnknownService
                                               : Errc::Unauthenticated;
  const auto organisation = authenticate(*bundle, *service, message.Fields);
  if (!organisation)
    return organisation.error();
  request.Organisation = *organisation;
  if (const std::error_code ec = complete(request, *service, message))
    return ec;
  request.Configuration = std::move(bundle);
  return request;
}

} // namespace cowslipridge::entry
