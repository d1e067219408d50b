#pragma once

#include "cowslipridge/entry/EntryContext.hpp"
#include "cowslipridge/entry/RequestFlow.hpp"
#include "cowslipridge/http/Server.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace cowslipridge::entry {

/// The work of one entry. Methods belong to the loop's thread unless they say
/// otherwise.
class Entry final : public std::enable_shared_from_this<Entry> {
public:
  Entry(rpc::EventLoop &loop, const core::Clock &time,
        observe::EventLog &events, const EntrySettings &settings);
  ~Entry();

  /// Puts a newer configuration in force; older ones are ignored. From any
  /// thread.
  void configure(std::shared_ptr<const config::Bundle> bundle);
  [[nodiscard]] std::shared_ptr<const config::Bundle> configuration() const;
  /// Called when a sidecar's configuration is newer than this one's.
  void onBehind(std::function<void(const core::InstanceId &ahead)> listener);
  void startTicking();
  /// Refuses new requests; those in flight go on.
  void drain();
  /// Requests in flight.
  [[nodiscard]] std::size_t inFlight() const { return Flows.size(); }
  [[nodiscard]] EntryContext &context() { return Context; }
  [[nodiscard]] const ExplainLog &explanations() const {
    return Context.Explanations;
  }

  /// Takes one request of a caller. From any thread.
  void handle(http::Request message,
              std::shared_ptr<http::Responder> responder);

private:
  void begin(CallerRequest request, std::shared_ptr<http::Responder> responder,
             core::Millis arrivedAt);
  [[nodiscard]] rpc::PeerStatus status() const;
  void hear(const rpc::PeerStatus &status);

  EntryContext Context;
  std::function<void(const core::InstanceId &)> BehindListener;
  std::set<std::shared_ptr<RequestFlow>> Flows;
  bool Leaving = false;
  mutable std::mutex ConfigurationGuard;
  std::shared_ptr<const config::Bundle> Configuration;
};

} // namespace cowslipridge::entry
