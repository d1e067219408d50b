#include "cowslipridge/http1/LoopTimer.hpp"

#include "cowslipridge/core/Chrono.hpp"

#include <utility>

namespace cowslipridge::http1 {

void LoopTimer::start(core::Millis wait, Handler onExpired) {
  const std::uint64_t number = ++*Current;
  Timer.expires_after(core::toChrono(wait));
  Timer.async_wait([current = Current, number,
                    onExpired = std::move(onExpired)](const auto &ec) {
    if (!ec && *current == number)
      onExpired();
  });
}

void LoopTimer::cancel() {
  ++*Current;
  Timer.cancel();
}

} // namespace cowslipridge::http1
