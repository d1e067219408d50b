#include "cowslipridge/gateway/StartupQueue.hpp"

#include <utility>
#include <vector>

namespace cowslipridge::gateway {

bool StartupQueue::hasRoom(std::size_t bytes) const {
  return Requests.size() < MaxRequests && bytes <= MaxBytes - Bytes;
}

StartupQueue::Ticket StartupQueue::hold(std::size_t bytes, core::Millis now,
                                        Handler handler) {
  const Ticket ticket = NextTicket++;
  Requests.emplace(ticket, Request{bytes, now, std::move(handler)});
  Bytes += bytes;
  return ticket;
}

void StartupQueue::remove(Ticket ticket) {
  const auto it = Requests.find(ticket);
  if (it == Requests.end())
    return;
  Bytes -= it->second.Bytes;
  Requests.erase(it);
}

void StartupQueue::releaseAll() {
  // Handlers may hold or remove requests.
  const auto released = std::exchange(Requests, {});
  Bytes = 0;
  for (const auto &[ticket, request] : released)
    request.OnRelease();
}

void StartupQueue::expire(core::Millis now) {
  std::vector<Handler> expired;
  while (!Requests.empty() &&
         now - Requests.begin()->second.HeldSince >= MaxHold) {
    expired.push_back(std::move(Requests.begin()->second.OnRelease));
    remove(Requests.begin()->first);
  }
  for (const Handler &it : expired)
    it();
}

} // namespace cowslipridge::gateway
