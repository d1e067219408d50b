#include "cowslipridge/http1/internal/RequestInput.hpp"

#include <charconv>
#include <utility>

namespace cowslipridge::http1::internal {

namespace {

/// A body in chunks that is longer may be as long as the limit allows.
constexpr std::size_t MaxUnreservedChunks = 16UL * 1024;
/// Bytes that count as progress of a request.
constexpr std::size_t MinProgressBytes = 4UL * 1024;

/// The body of a request and its share of the budget.
struct HeldBody {
  std::string Text;
  BufferBudget::Share Room;
};

} // namespace

RequestInput::RequestInput(std::shared_ptr<ServerContext> context)
    : Context(std::move(context)), Room(Context->Buffers) {
  restart();
}

void RequestInput::restart() {
  Parser.emplace(Context->Limits.Request);
  Begun = HeadSeen = ContinueSent = false;
  ProgressAt = BegunAt = Context->Clock.monotonic();
  ProgressBytes = 0;
}

void RequestInput::append(std::string_view bytes) {
  LastReadAt = Context->Clock.monotonic();
  Bytes += bytes;
  ProgressBytes += bytes.size();
  if (ProgressBytes < MinProgressBytes)
    return;
  ProgressBytes = 0;
  ProgressAt = LastReadAt;
}

ParseStatus RequestInput::parse() {
  if (!std::exchange(Begun, true))
    ProgressAt = BegunAt = LastReadAt;
  const ParseStatus status = Parser->parse(Bytes);
  if (Bytes.empty())
    clear();
  return status;
}

void RequestInput::discard() {
  Room.release();
  Parser->takeBody();
  clear();
}

bool RequestInput::mustSendContinue() {
  return !ContinueSent && head().Fields.hasToken("Expect", "100-continue") &&
         !std::exchange(ContinueSent, true);
}

std::size_t RequestInput::expectedBodyBytes() const {
  if (head().Body == Framing::Chunked)
    return Parser->body().size() > MaxUnreservedChunks
               ? Context->Limits.Request.MaxBodyBytes
               : 0;
  const auto length = head().Fields.find("Content-Length");
  std::size_t bytes = 0;
  if (length)
    std::from_chars(length->data(), length->data() + length->size(), bytes);
  return bytes;
}

bool RequestInput::requestRoom(std::function<void()> onRoom) {
  if (holdsRoom())
    return true;
  if (!Room.request(expectedBodyBytes(), std::move(onRoom)))
    return false;
  if (holdsRoom())
    Parser->reserveBody(expectedBodyBytes());
  return true;
}

void RequestInput::onRoom() {
  ProgressAt = Context->Clock.monotonic();
  Parser->reserveBody(expectedBodyBytes());
}

std::shared_ptr<const std::string> RequestInput::takeBody() {
  std::string text = Parser->takeBody();
  auto room = Room.take(text.size());
  const auto held =
      std::make_shared<HeldBody>(HeldBody{std::move(text), std::move(room)});
  return {held, &held->Text};
}

std::size_t RequestInput::heldBytes() const {
  const std::size_t body = holdsRoom() ? 0 : Parser->body().capacity();
  return Bytes.capacity() + Parser->heldHeadBytes() + body;
}

} // namespace cowslipridge::http1::internal
