#include "standins/platform/Deviation.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace cowslipridge::standins::platform {

namespace {

constexpr int InternalServerError = 500;
constexpr std::array<int, 4> RefusalStatuses = {421, 503, 429, 408};
constexpr std::size_t CutBodyLength = 1'000;
/// Written at once by streams without an end.
constexpr std::size_t BlockBytes = 32UL * 1024;
constexpr std::string_view BrokenBody = "no answer";
constexpr std::string_view NotExecuted = "Not-Executed";

constexpr std::array<std::pair<std::string_view, Deviation>, 18> Names = {{
    {"no-status", Deviation::NoStatus},
    {"name-with-blank", Deviation::NameWithBlank},
    {"name-with-control", Deviation::NameWithControl},
    {"hidden-field", Deviation::HiddenField},
    {"coded-body", Deviation::CodedBody},
    {"encoded-body", Deviation::EncodedBody},
    {"two-ids", Deviation::TwoIds},
    {"stated-refusal", Deviation::StatedRefusal},
    {"copied-refusal", Deviation::CopiedRefusal},
    {"unstated-refusal", Deviation::UnstatedRefusal},
    {"failure", Deviation::Failure},
    {"lost-answer", Deviation::LostAnswer},
    {"cut-body", Deviation::CutBody},
    {"wrong-id", Deviation::WrongId},
    {"endless-event", Deviation::EndlessEvent},
    {"empty-lines", Deviation::EmptyLines},
    {"old-events", Deviation::OldEvents},
    {"endless-body", Deviation::EndlessBody},
}};

// Starts a response of which nothing but `part` is sent.
void sendPart(http1::Exchange &exchange, http1::ResponseHead head,
              std::string_view part) {
  head.Body = http1::Framing::Length;
  head.Length = CutBodyLength;
  exchange.begin(std::move(head));
  exchange.send(part);
}

// Sends a response whose head has one field more than a sound one.
void respondWith(http1::Exchange &exchange, http1::ResponseHead head,
                 const http1::HeaderField &field) {
  head.Fields.add(field.Name, field.Value);
  exchange.respond(std::move(head), BrokenBody);
}

std::string blockOf(std::string_view part) {
  std::string block;
  while (block.size() < BlockBytes)
    block += part;
  return block;
}

// Sends `part` again and again, as fast as the peer reads it.
void sendWithoutEnd(const std::shared_ptr<http1::Exchange> &exchange,
                    http1::ResponseHead head, std::string_view part) {
  head.Fields.add("Content-Type", "text/event-stream");
  head.Body = http1::Framing::Chunked;
  exchange->begin(std::move(head));
  // The connection holds the handler until it closes.
  exchange->onDrained(
      [exchange, block = blockOf(part)] { exchange->send(block); });
  exchange->send(part);
}

} // namespace

std::optional<Deviation> parseDeviation(std::string_view name) {
  const auto *it = std::ranges::find(
      Names, name, &std::pair<std::string_view, Deviation>::first);
  return it == Names.end() ? std::nullopt : std::optional(it->second);
}

std::string_view toString(Deviation deviation) {
  return std::ranges::find(Names, deviation,
                           &std::pair<std::string_view, Deviation>::second)
      ->first;
}

bool runsRequest(Deviation deviation) {
  return deviation != Deviation::StatedRefusal &&
         deviation != Deviation::CopiedRefusal;
}

bool needsStream(Deviation deviation) {
  return deviation == Deviation::EndlessEvent ||
         deviation == Deviation::EmptyLines ||
         deviation == Deviation::OldEvents;
}

void answerDeviating(const std::shared_ptr<http1::Exchange> &exchange,
                     Deviation deviation, http1::ResponseHead head,
                     unsigned n) {
  switch (deviation) {
  case Deviation::StatedRefusal:
  case Deviation::CopiedRefusal:
    head.Status = RefusalStatuses.at(n % RefusalStatuses.size());
    head.Fields.add(std::string(NotExecuted), "1");
    exchange->respond(std::move(head), {});
    return;
  case Deviation::UnstatedRefusal:
    head.Status = RefusalStatuses.at(n % RefusalStatuses.size());
    exchange->respond(std::move(head), {});
    return;
  case Deviation::Failure:
    head.Status = InternalServerError;
    exchange->respond(std::move(head), "failed");
    return;
  case Deviation::LostAnswer:
    exchange->abort();
    return;
  case Deviation::CutBody:
    sendPart(*exchange, std::move(head), "part of");
    exchange->abort();
    return;
  case Deviation::WrongId:
    head.Fields.set("Attempt-Id", "another");
    exchange->respond(std::move(head), "answer to another");
    return;
  case Deviation::NoStatus:
    head.Status = 0;
    exchange->respond(std::move(head), BrokenBody);
    return;
  case Deviation::NameWithBlank:
    respondWith(*exchange, std::move(head), {"Some Name", "1"});
    return;
  case Deviation::NameWithControl:
    respondWith(*exchange, std::move(head), {"Na\x01me", "1"});
    return;
  case Deviation::HiddenField:
    respondWith(*exchange, std::move(head), {"Name", "1\r\n Other: 2"});
    return;
  case Deviation::CodedBody:
    respondWith(*exchange, std::move(head), {"Transfer-Encoding", "gzip"});
    return;
  case Deviation::EncodedBody:
    respondWith(*exchange, std::move(head), {"Content-Encoding", "gzip"});
    return;
  case Deviation::TwoIds:
    respondWith(*exchange, std::move(head), {"Attempt-Id", "another"});
    return;
  case Deviation::EndlessEvent:
    sendWithoutEnd(exchange, std::move(head), "data: no end");
    return;
  case Deviation::EmptyLines:
    sendWithoutEnd(exchange, std::move(head), "\n");
    return;
  case Deviation::OldEvents:
    sendWithoutEnd(exchange, std::move(head), "id: 1\ndata: event 1\n\n");
    return;
  case Deviation::EndlessBody:
    head.Status = InternalServerError;
    sendWithoutEnd(exchange, std::move(head), "failed ");
    return;
  }
}

} // namespace cowslipridge::standins::platform
