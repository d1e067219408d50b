#pragma once

#include <pplx/pplxtasks.h>

namespace cowslipridge::http::internal {

/// Ignores the failure of a task. PPLX terminates the process when the
/// exception of a task is never observed.
template <typename T> void ignoreFailure(pplx::task<T> task) {
  task.then([](pplx::task<T> done) {
    try {
      done.wait();
    } catch (...) { // the failure is reported at the end of the exchange
    }
  });
}

} // namespace cowslipridge::http::internal
