#include "cowslipridge/platform/HeaderTranslator.hpp"

#include "cowslipridge/core/Error.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace cowslipridge::platform {

namespace {

constexpr std::string_view AttemptId = "Attempt-Id";
constexpr std::string_view Authorization = "Authorization";
constexpr std::string_view KeySchemePrefix = "Token ";
constexpr std::string_view DeadlineRemaining = "Deadline-Remaining";
constexpr std::string_view LastEventId = "Last-Event-Id";
constexpr std::string_view ModelName = "Model-Name";
constexpr std::string_view AnyModel = "*";
// "PROMPT,OUTPUT": tokens of the prompt, maximum tokens of the output.
constexpr std::string_view TokenUsage = "Token-Usage";
// "ID:TOKENS,...": the parts of the prompt, with ids in hexadecimal.
constexpr std::string_view PromptPrefix = "Prompt-Prefix";
constexpr std::string_view LengthHint = "Length-Hint";
constexpr std::string_view Session = "Session";
constexpr std::string_view ExpectedInstance = "Expected-Instance";
constexpr std::string_view TenantName = "Tenant-Name";
constexpr std::string_view RequestPriority = "Request-Priority";
constexpr std::string_view Signature = "Response-Signature";
constexpr std::string_view NotExecuted = "Not-Executed";
constexpr std::string_view WeightVersions = "Weight-Versions";
constexpr std::string_view EstimateConfidence = "Estimate-Confidence";
// "IP:PORT" of the runner that has the prefix.
constexpr std::string_view KvFetch = "Kv-Fetch";
constexpr std::string_view RetryAfter = "Retry-After";
constexpr std::string_view ServerLeaving = "Server-Leaving";
constexpr std::string_view IsLeaving = "1";
// Requests a second that the runner takes from all machines together.
constexpr std::string_view ServerLimit = "Server-Limit";

/// Fields that only the gateway sets in requests to a runner. They are removed
/// from callers' requests.
constexpr std::array<std::string_view, 11> GatewayFields = {
    ExpectedInstance,  "Expected-Version", TenantName,       RequestPriority,
    "Cache-Retention", "Pin-Duration",     "Kv-Backup",      "Kv-From",
    KvFetch,           Authorization,      DeadlineRemaining};

/// Fields that a request may contain only once: with two of them it would be
/// ambiguous which value applies.
constexpr std::array<std::string_view, 9> NonRepeatableFields = {
    AttemptId,  Authorization, DeadlineRemaining, LastEventId, ModelName,
    TokenUsage, PromptPrefix,  Session,           LengthHint};

constexpr int MisdirectedRequest = 421;
constexpr int ServiceUnavailable = 503;
constexpr double MillisPerSecond = 1'000;
/// Longer times than this are cut to it.
constexpr double MaxSeconds = 86'400;

std::optional<std::uint64_t> parseNumber(std::string_view text, int base = 10) {
  std::uint64_t value = 0;
  const char *end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value, base);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end)
    return std::nullopt;
  return value;
}

std::optional<std::uint64_t> numberIn(const http1::HeaderFields &fields,
                                      std::string_view name) {
  const auto value = fields.find(name);
  return value ? parseNumber(*value) : std::nullopt;
}

std::string stringIn(const http1::HeaderFields &fields, std::string_view name) {
  return std::string(fields.find(name).value_or(""));
}

// A second signature would be that of another answer.
bool isAuthentic(const http1::HeaderFields &fields) {
  return fields.count(Signature) == 1 && !fields.find(Signature)->empty();
}

void parseTokenUsage(std::string_view text, gateway::CallerRequest &request) {
  const std::size_t comma = text.find(',');
  request.PromptTokens = parseNumber(text.substr(0, comma)).value_or(0);
  if (comma != std::string_view::npos)
    request.MaxOutputTokens = parseNumber(text.substr(comma + 1)).value_or(0);
}

// Parsing stops at the first malformed part: a prefix must have no gaps.
std::vector<gateway::PromptPart> parsePromptPrefix(std::string_view text) {
  constexpr int Hexadecimal = 16;
  std::vector<gateway::PromptPart> parts;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    const std::string_view item = text.substr(0, comma);
    const std::size_t colon = item.find(':');
    if (colon == std::string_view::npos)
      break;
    const auto id = parseNumber(item.substr(0, colon), Hexadecimal);
    const auto tokens = parseNumber(item.substr(colon + 1));
    if (!id || !tokens)
      break;
    parts.push_back({*id, *tokens});
    text = comma == std::string_view::npos ? std::string_view()
                                           : text.substr(comma + 1);
  }
  return parts;
}

// Returns a number that is not negative and may have a fraction.
std::optional<double> parseDecimal(std::string_view text) {
  double value = 0;
  const char *end = text.data() + text.size();
  const auto parsed =
      std::from_chars(text.data(), end, value, std::chars_format::fixed);
  const bool isNumber = parsed.ec == std::errc() && parsed.ptr == end;
  return isNumber && std::isfinite(value) && value >= 0 ? std::optional(value)
                                                        : std::nullopt;
}

// Rounds up, so that the time is over when the result has passed.
std::optional<core::Millis> parseSeconds(std::string_view text) {
  const auto seconds = parseDecimal(text);
  if (!seconds)
    return std::nullopt;
  return core::Millis(std::llround(
      std::ceil(std::min(*seconds, MaxSeconds) * MillisPerSecond)));
}

std::string formatSeconds(core::Millis duration) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f",
                static_cast<double>(duration.count()) / MillisPerSecond);
  return text.data();
}

} // namespace

core::Result<gateway::CallerRequest>
HeaderTranslator::readRequest(const http1::RequestHead &head) const {
  for (const std::string_view name : NonRepeatableFields) {
    if (head.Fields.count(name) > 1)
      return core::Errc::Malformed;
  }
  gateway::CallerRequest request;
  request.Id = core::RequestId(stringIn(head.Fields, AttemptId));
  request.Host = stringIn(head.Fields, "Host");
  request.Path = head.Target.substr(0, head.Target.find('?'));
  if (const auto header = head.Fields.find(Authorization)) {
    const bool hasScheme = header->starts_with(KeySchemePrefix);
    request.ApiKey =
        hasScheme ? header->substr(KeySchemePrefix.size()) : *header;
  }
  if (const auto millis = numberIn(head.Fields, DeadlineRemaining))
    request.Remaining = core::Millis(static_cast<std::int64_t>(*millis));
  request.LastEventId = numberIn(head.Fields, LastEventId);
  request.Model = stringIn(head.Fields, ModelName);
  request.AnyModel = request.Model == AnyModel;
  parseTokenUsage(stringIn(head.Fields, TokenUsage), request);
  request.EstimatedOutputTokens = numberIn(head.Fields, LengthHint);
  request.Prompt = parsePromptPrefix(stringIn(head.Fields, PromptPrefix));
  request.Session = core::SessionId(stringIn(head.Fields, Session));
  return request;
}

http1::RequestHead
HeaderTranslator::relay(const http1::RequestHead &head,
                        const gateway::RelayAttributes &attributes) const {
  http1::RequestHead relayed = head;
  relayed.Fields = http1::endToEnd(head.Fields);
  for (const std::string_view name : GatewayFields)
    relayed.Fields.remove(name);
  relayed.Fields.add(DeadlineRemaining,
                     std::to_string(attributes.Remaining.count()));
  relayed.Fields.add(ExpectedInstance, attributes.Runner.str());
  relayed.Fields.add(RequestPriority, std::to_string(attributes.Urgency));
  if (attributes.Organisation)
    relayed.Fields.add(TenantName, attributes.Organisation->str());
  if (attributes.Model)
    relayed.Fields.set(ModelName, *attributes.Model);
  if (attributes.PrefixSource)
    relayed.Fields.add(KvFetch, *attributes.PrefixSource);
  if (attributes.LastEventId)
    relayed.Fields.set(LastEventId, std::to_string(*attributes.LastEventId));
  return relayed;
}

gateway::ResponseAttributes
HeaderTranslator::readResponse(const http1::ResponseHead &head) const {
  gateway::ResponseAttributes attributes;
  attributes.Status = head.Status;
  attributes.Authentic = isAuthentic(head.Fields);
  if (head.Fields.hasConflict(WeightVersions) ||
      head.Fields.hasConflict(EstimateConfidence))
    attributes.Flaw = "the response names two versions or two confidences";
  if (head.Fields.find(NotExecuted))
    attributes.NotRun = notRunStatement();
  if (const auto confidence = numberIn(head.Fields, EstimateConfidence))
    attributes.Confidence = static_cast<int>(*confidence);
  attributes.Id = core::RequestId(stringIn(head.Fields, AttemptId));
  // A misdirected request reached another runner than the one that it was for.
  attributes.RunnerLeaving = head.Status != MisdirectedRequest &&
                             head.Fields.find(ServerLeaving) == IsLeaving;
  if (head.Status != MisdirectedRequest)
    attributes.RateLimit = parseDecimal(stringIn(head.Fields, ServerLimit));
  if (head.Status == ServiceUnavailable)
    attributes.Backoff = parseSeconds(stringIn(head.Fields, RetryAfter));
  return attributes;
}

http1::ResponseHead
HeaderTranslator::localReply(int status, const core::RequestId &request,
                             std::optional<core::Millis> retryAfter) const {
  http1::ResponseHead head;
  head.Status = status;
  if (!request.empty())
    head.Fields.add(AttemptId, request.str());
  if (retryAfter)
    head.Fields.add(RetryAfter, formatSeconds(*retryAfter));
  return head;
}

std::string HeaderTranslator::echoField() const {
  return std::string(AttemptId);
}

std::string HeaderTranslator::readinessPath() const { return "/v1/readiness"; }

} // namespace cowslipridge::platform
