#pragma once

#include "cowslipridge/http/Client.hpp"
#include "cowslipridge/http/internal/ServerConnections.hpp"
#include "cowslipridge/http1/LoopTimer.hpp"

#include <memory>
#include <string_view>

namespace cowslipridge::http::internal {

/// One request in flight and its response. All but start() and cancel() runs on
/// clientLoop().
class ClientExchange final
    : public Exchange,
      public std::enable_shared_from_this<ClientExchange> {
public:
  /// `mayResend`: the request may be sent again if the server closed the reused
  /// connection that it was sent on.
  ClientExchange(std::shared_ptr<ServerConnections> server, Request request,
                 bool mayResend, ResponseEvents events);

  void start();
  void cancel() override;

private:
  class Reception;

  void onResolved(std::error_code ec,
                  const ServerConnections::Endpoints &endpoints);
  void call();
  void onHead(const http1::ResponseHead &head);
  void onData(std::string_view data);
  void onFailure(http1::CallFailure failure);
  void startTimer();
  void end(std::error_code ec);
  [[nodiscard]] SendStage stage() const;
  /// Notes how far the call has come.
  void recordProgress();

  const std::shared_ptr<ServerConnections> Server;
  const bool MayResend;
  const http1::RequestHead Head;
  std::shared_ptr<const std::string> Body;
  ResponseEvents Events;
  http1::LoopTimer Timer;
  ServerConnections::Endpoints Untried; ///< the next one is the last
  http1::Endpoint Target;
  std::shared_ptr<http1::Call> Call;
  bool Reused = false; ///< the connection of the call had served another one
  bool Sent = false;   ///< bytes of the request may have left
  bool Ended = false;
};

} // namespace cowslipridge::http::internal
