#include "standins/FaultyResponder.hpp"

#include <utility>

namespace cowslipridge::standins {

namespace {

constexpr std::string_view GarbageBytes = "\x01\xfe{]not json\n\n";

} // namespace

FaultyResponder::FaultyResponder(std::shared_ptr<http::Responder> target,
                                 const Faults &faults, bool loseReply)
    : Target(std::move(target)), LoseReply(loseReply), Garbage(faults.Garbage),
      Duplicate(faults.Duplicate), BreakAfterEvents(faults.BreakAfterEvents) {}

void FaultyResponder::respond(http::Response response) {
  if (LoseReply) {
    breakConnection();
    return;
  }
  if (Garbage)
    response.Body = GarbageBytes;
  Target->respond(std::move(response));
}

void FaultyResponder::start(int status, http::Headers fields) {
  if (LoseReply)
    breakConnection();
  else
    Target->start(status, std::move(fields));
}

void FaultyResponder::write(std::string chunk) {
  if (Broken)
    return;
  if (BreakAfterEvents != 0 && EventsSent >= BreakAfterEvents) {
    abort();
    return;
  }
  ++EventsSent;
  if (Garbage)
    chunk = GarbageBytes;
  if (Duplicate)
    Target->write(chunk);
  Target->write(std::move(chunk));
}

void FaultyResponder::finish() {
  if (!Broken)
    Target->finish();
}

void FaultyResponder::abort() {
  Broken = true;
  Target->abort();
}

bool FaultyResponder::isDisconnected() const {
  return Target->isDisconnected();
}

// Aborts the body right after the status line, so that the client cannot rely
// on the status.
void FaultyResponder::breakConnection() {
  Broken = true;
  Target->start(200, {});
  Target->abort();
}

} // namespace cowslipridge::standins
