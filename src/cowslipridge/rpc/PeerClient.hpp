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

/// Receives one answer on the loop's thread, in order.
struct AnswerEvents {
  std::function<void(int status, http::Headers fields)> OnHead;
  std::function<void(std::string data)> OnFrame;
  /// Last call. Without an error the answer is complete.
  std::function<void(RunResult result)> OnEnd;
};

/// A run at a peer.
class RemoteCall {
public:
  virtual ~RemoteCall() = default;
  /// Tells the peer that nobody waits for the answer; no more events come.
  virtual void cancel() = 0;
};

struct PeerClientSettings {
  core::InstanceId Self;
  core::InstanceId Peer;
  std::string Address; ///< IP number
  std::uint16_t Port = 0;
  std::string FleetKey;
  core::Millis ConnectTimeout{1'000};
  core::Millis MinBackoff{50};
  core::Millis MaxBackoff{2'000};
  /// Waited beyond a run's own deadline before the peer counts as frozen.
  core::Millis AnswerGrace{250};
};

/// A connection to one peer that is made again, with growing pauses, whenever
/// it ends. All methods and events belong to the loop's thread.
class PeerClient {
public:
  PeerClient(EventLoop &loop, PeerClientSettings settings,
             observe::EventLog &events);
  ~PeerClient();
  PeerClient(const PeerClient &) = delete;
  PeerClient &operator=(const PeerClient &) = delete;

  [[nodiscard]] bool connected() const;
  /// Called after each change of connected().
  void onChange(std::function<void(bool connected)> listener);

  /// Asks the peer to run a request. Without a connection it ends at once with
  /// Outcome::NotRun; when the connection ends first, with Outcome::Unknown.
  std::shared_ptr<RemoteCall> run(const RunRequest &request,
                                  AnswerEvents events);
  void exchange(const PeerStatus &status, core::Millis timeout,
                std::function<void(core::Result<PeerStatus>)> done);
  void fetchBundle(core::Millis timeout,
                   std::function<void(core::Result<BundleContent>)> done);
  /// Hands a newer bundle over; `done` hears the generation in force there.
  void offerBundle(const BundleContent &content, core::Millis timeout,
                   std::function<void(core::Result<core::Generation>)> done);
  void deliverBills(const std::vector<std::string> &lines, core::Millis timeout,
                    std::function<void(core::Result<unsigned>)> done);

private:
  class Impl;
  std::shared_ptr<Impl> Internals;
};

} // namespace cowslipridge::rpc
