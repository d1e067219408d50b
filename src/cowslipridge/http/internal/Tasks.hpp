#pragma once

#include <pplx/pplxtasks.h>

namespace cowslipridge::http::internal {

/// Ignores a failed task. The library ends the process when nobody looks at a
/// task's exception.
template <typename T> void ignoreFailure(pplx::task<T> task) {
  task.then([](pplx::task<T> done) {
    try {
      done.wait();
    } catch (...) { // the failure shows where the exchange ends
    }
  });
}

} // namespace cowslipridge::http::internal
