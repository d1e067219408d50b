#pragma once

#include "cowslipridge/rpc/Server.hpp"
#include "cowslipridge/sidecar/SidecarContext.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace cowslipridge::sidecar {

/// What a flow asks of the sidecar that holds it.
class FlowOwner {
public:
  virtual ~FlowOwner() = default;
  /// The status that goes with an answer.
  virtual rpc::PeerStatus statusFor(const core::InstanceId &peer) = 0;
  /// Carries out what admission decided.
  virtual void apply(const limits::AdmissionActions &actions) = 0;
  /// Puts a bill into the journal and tells `entry` when it is there.
  virtual void store(const ledger::Bill &bill,
                     const core::InstanceId &entry) = 0;
  /// Why a request may not run here now; nothing when it may.
  [[nodiscard]] virtual std::optional<core::Errc>
  refusalOf(const rpc::RunRequest &request) const = 0;
  /// The flow has ended.
  virtual void forget(const core::RequestId &ticket) = 0;
};

/// One request from its admission to the end of its answer. Belongs to the
/// loop's thread.
class RunFlow final : public rpc::IncomingCall,
                      public std::enable_shared_from_this<RunFlow> {
public:
  /// `ticket` names this arrival; unlike the request's id it is never reused.
  RunFlow(SidecarContext &context, FlowOwner &owner, core::RequestId ticket,
          rpc::RunRequest request, std::shared_ptr<rpc::AnswerSink> sink);

  [[nodiscard]] limits::Arrival arrival() const;
  /// Admission lets it start.
  void start();
  /// It does not run; ends the answer.
  void refuse(core::Errc reason, core::Millis retryAfter,
              const core::InstanceId &owner = {});
  void abandon() override;
  /// A newer configuration is in force: ends a request that waits and may not
  /// run any more.
  void onConfiguration();
  /// True once the runner may have been given the request.
  [[nodiscard]] bool isRunning() const { return Running; }
  [[nodiscard]] core::Millis deadline() const { return Deadline; }

private:
  void refuseUnadmitted();
  void claim();
  void onClaim(const ledger::ClaimDecision &decision);
  void replay(const ledger::ClaimOutcome &earlier);
  void run();
  runner::CallEvents callEvents();
  void onHead(int status, const http::Headers &fields);
  void onData(std::string data);
  void onRunnerEnd(std::error_code ec, core::Outcome outcome,
                   runner::Usage usage);
  void settle(core::Outcome outcome);
  void bill(core::Outcome outcome, const runner::Usage &usage);
  void releaseSlot(bool failed);
  void end(rpc::RunResult result);
  [[nodiscard]] ledger::IdempotencyKey key() const;
  [[nodiscard]] bool mustClaim() const { return !Request.Idempotent; }

  SidecarContext &Context;
  FlowOwner &Owner;
  const core::RequestId Ticket;
  const rpc::RunRequest Request;
  const core::Millis Deadline;
  std::shared_ptr<rpc::AnswerSink> Sink;
  std::shared_ptr<runner::RunningCall> Call;
  core::Millis StartedAt;
  bool Admitted = false;
  bool Running = false;
  bool Ended = false;
  bool Abandoned = false;
  int Status = 0;
  std::uint64_t Frames = 0;
  std::string KeptAnswer; ///< of a claimed call, for retries
  std::string BillLine;   ///< once the run is billed
  bool AnswerTooLarge = false;
};

} // namespace cowslipridge::sidecar
