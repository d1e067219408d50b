#pragma once

#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/observe/EventLog.hpp"
#include "cowslipridge/rpc/EventLoop.hpp"
#include "cowslipridge/rpc/Messages.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cowslipridge::rpc {

/// Callbacks that receive one answer, in order, on the loop's thread.
struct AnswerEvents {
  std::function<void(int status, http::Headers fields)> OnHead;
  std::function<void(std::string data)> OnFrame;
  /// The last callback. The answer is complete if `result` holds no error.
  std::function<void(RunResult result)> OnEnd;
};

/// A run in progress at a peer.
class RemoteCall {
public:
  virtual ~RemoteCall() = default;
  /// Cancels the run at the peer. No callback is called afterwards.
  virtual void cancel() = 0;
};

struct PeerClientSettings {
  core::InstanceId Self;
  core::InstanceId Peer;
  std::string Address; ///< IPv4 or IPv6 address
  std::uint16_t Port = 0;
  std::string FleetKey;
  core::Millis ConnectTimeout{1'000};
  core::Millis MinBackoff{50};
  core::Millis MaxBackoff{2'000};
  /// Added to a run's remaining time; after that the peer is regarded as
  /// unresponsive and the run fails.
  core::Millis AnswerGrace{250};
};

/// A connection to one peer that reconnects with exponential backoff whenever
/// it is lost. All methods and callbacks run on the loop's thread.
class PeerClient {
public:
  PeerClient(EventLoop &loop, PeerClientSettings settings,
             observe::EventLog &events);
  ~PeerClient();
  PeerClient(const PeerClient &) = delete;
  PeerClient &operator=(const PeerClient &) = delete;

  [[nodiscard]] bool connected() const;
  /// Sets the listener to be called after each change of connected().
  void onChange(std::function<void(bool connected)> listener);

  /// Runs a request at the peer. The run ends at once with Outcome::NotRun if
  /// there is no connection, and with Outcome::Unknown if the connection is
  /// lost before the result arrives.
  std::shared_ptr<RemoteCall> run(const RunRequest &request,
                                  AnswerEvents events);
  /// Sends `status` and passes the peer's own status to `done`.
  void exchange(const PeerStatus &status, core::Millis timeout,
                std::function<void(core::Result<PeerStatus>)> done);
  /// Fetches the bundle in force at the peer.
  void fetchBundle(core::Millis timeout,
                   std::function<void(core::Result<BundleContent>)> done);
  /// Offers a newer bundle to the peer. `done` receives the generation then in
  /// force at the peer.
  void offerBundle(const BundleContent &content, core::Millis timeout,
                   std::function<void(core::Result<core::Generation>)> done);
  /// Sends encoded bills. `done` receives the number accepted by the peer.
  void deliverBills(const core::InstanceId &self,
                    const std::vector<std::string> &lines, core::Millis timeout,
                    std::function<void(core::Result<unsigned>)> done);

private:
  class Impl;
  std::shared_ptr<Impl> Internals;
};

} // namespace cowslipridge::rpc
