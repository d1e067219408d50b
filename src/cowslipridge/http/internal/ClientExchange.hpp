#pragma once

#include "cowslipridge/http/Client.hpp"
#include "cowslipridge/http/internal/OrderedEvents.hpp"
#include "cowslipridge/http/internal/PooledClient.hpp"

#include <atomic>
#include <memory>

namespace cowslipridge::http::internal {

/// One request in flight and its response.
class ClientExchange final
    : public Exchange,
      public std::enable_shared_from_this<ClientExchange> {
public:
  ClientExchange(std::shared_ptr<PooledClient> client, ResponseEvents events);

  void send(const Request &request);
  void cancel() override;

private:
  void onHead(const pplx::task<web::http::http_response> &head);
  void onComplete(const pplx::task<web::http::http_response> &body);
  void fail(const std::exception &failure);
  [[nodiscard]] SendStage stageOf(const std::exception &failure) const;

  std::shared_ptr<PooledClient> HttpClient;
  OrderedEvents Events;
  pplx::cancellation_token_source Cancellation;
  std::atomic<bool> Cancelled = false;
};

} // namespace cowslipridge::http::internal
