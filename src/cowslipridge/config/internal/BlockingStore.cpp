#include "cowslipridge/config/internal/BlockingStore.hpp"

#include "cowslipridge/core/Error.hpp"

#include <future>
#include <memory>
#include <utility>

namespace cowslipridge::config::internal {

namespace {

/// Failed reads are retried, since a read has no side effect.
constexpr int MaxReadAttempts = 4;

/// Calls `start` with a callback and waits for the value passed to it.
template <typename Value, typename Start> Value await(Start start) {
  // Shared, because the callback may still be running when get() returns.
  const auto promise = std::make_shared<std::promise<Value>>();
  std::future<Value> answer = promise->get_future();
  start([promise](Value value) { promise->set_value(std::move(value)); });
  return answer.get();
}

} // namespace

BlockingStore::BlockingStore(backing::Store &store) : Store(store) {}

core::Result<std::optional<backing::StoreEntry>>
BlockingStore::get(const std::string &key) {
  using Answer = core::Result<std::optional<backing::StoreEntry>>;
  Answer answer = core::Errc::StoreUnavailable;
  for (int n = 0; n < MaxReadAttempts && !answer.ok(); ++n)
    answer = await<Answer>([&](auto done) { Store.get(key, std::move(done)); });
  return answer;
}

backing::SwapStatus BlockingStore::compareAndSwap(const std::string &key,
                                                  const std::string &value,
                                                  backing::Revision expected) {
  return await<backing::SwapResult>([&](auto done) {
           Store.compareAndSwap(key, value, expected, std::move(done));
         })
      .Status;
}

backing::SwapStatus
BlockingStore::compareAndDelete(const std::string &key,
                                backing::Revision expected) {
  return await<backing::SwapResult>([&](auto done) {
           Store.compareAndDelete(key, expected, std::move(done));
         })
      .Status;
}

} // namespace cowslipridge::config::internal
