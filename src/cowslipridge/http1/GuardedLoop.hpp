#pragma once

#include <boost/asio/io_context.hpp>

#include <exception>
#include <functional>

namespace cowslipridge::http1 {

/// Runs the loop until it stops. An exception that a handler throws is passed
/// to `onError`, and the loop goes on: it ends the work of one handler, not
/// that of all other requests.
void runGuarded(boost::asio::io_context &loop,
                const std::function<void(const std::exception &)> &onError);

} // namespace cowslipridge::http1
