#pragma once

#include "cowslipridge/http1/Server.hpp"

#include <cstdint>
#include <map>
#include <memory>

namespace cowslipridge::standins::platform {

/// Repeats refusals, as a faulty runner does: once a connection has carried a
/// refusal, the copy of it goes ahead of the answer to the connection's next
/// request.
class RefusalCopies {
public:
  /// Returns the exchange through which the runner answers. The copy that is
  /// due on its connection is sent at once.
  std::shared_ptr<http1::Exchange>
  wrap(const std::shared_ptr<http1::Exchange> &exchange);

private:
  class CopyingExchange;

  std::map<std::uint64_t, http1::ResponseHead> Due; ///< by connection
};

} // namespace cowslipridge::standins::platform
