#include "cowslipridge/http1/GuardedLoop.hpp"

namespace cowslipridge::http1 {

void runGuarded(boost::asio::io_context &loop,
                const std::function<void(const std::exception &)> &onError) {
  while (true) {
    try {
      loop.run();
      return;
    } catch (const std::exception &error) {
      onError(error);
    }
  }
}

} // namespace cowslipridge::http1
