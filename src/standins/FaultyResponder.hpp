#pragma once

#include "cowslipridge/http/Server.hpp"
#include "standins/Faults.hpp"

#include <memory>

namespace cowslipridge::standins {

/// Applies the faults to one response after its request has taken effect.
class FaultyResponder final : public http::Responder {
public:
  FaultyResponder(std::shared_ptr<http::Responder> target, const Faults &faults,
                  bool loseReply);

  void respond(http::Response response) override;
  void start(int status, http::Headers fields) override;
  void write(std::string chunk) override;
  void finish() override;
  void abort() override;
  [[nodiscard]] bool isDisconnected() const override;

private:
  /// Ends the connection without a usable response.
  void breakConnection();

  std::shared_ptr<http::Responder> Target;
  bool LoseReply;
  bool Garbage;
  bool Duplicate;
  unsigned BreakAfterEvents;
  unsigned EventsSent = 0;
  bool Broken = false;
};

} // namespace cowslipridge::standins
