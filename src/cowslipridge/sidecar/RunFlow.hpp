#pragma once

#include "cowslipridge/rpc/Server.hpp"
#include "cowslipridge/sidecar/SidecarContext.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace cowslipridge::sidecar {

/// The interface of the sidecar that a flow belongs to.
class FlowOwner {
public:
  virtual ~FlowOwner() = default;
  /// Returns the status to send to `peer` with an answer.
  virtual rpc::PeerStatus statusFor(const core::InstanceId &peer) = 0;
  /// Carries out the decisions of admission control.
  virtual void apply(const limits::AdmissionActions &actions) = 0;
  /// Appends a bill to the journal and queues a receipt for `entry` once the
  /// bill is stored.
  virtual void store(const ledger::Bill &bill,
                     const core::InstanceId &entry) = 0;
  /// Returns the reason why a request may not run on this sidecar now, or
  /// nothing if it may run.
  [[nodiscard]] virtual std::optional<core::Errc>
  refusalOf(const rpc::RunRequest &request) const = 0;
  /// Removes a flow that has ended.
  virtual void onFlowEnd(const core::RequestId &ticket) = 0;
};

/// The life cycle of one request, from its admission to the end of its answer.
/// Used only on the loop's thread.
class RunFlow final : public rpc::IncomingCall,
                      public std::enable_shared_from_this<RunFlow> {
public:
  /// `ticket` identifies this arrival; unlike the request's id it is never
  /// reused.
  RunFlow(SidecarContext &context, FlowOwner &owner, core::RequestId ticket,
          rpc::RunRequest request, std::shared_ptr<rpc::AnswerSink> sink);

  [[nodiscard]] limits::Arrival arrival() const;
  /// Starts the request after admission.
  void start();
  /// Ends the answer with an error; the request does not run.
  void refuse(core::Errc reason, core::Millis retryAfter,
              const core::InstanceId &owner = {});
  void abandon() override;
  /// Handles a newer configuration: refuses a queued request that may no longer
  /// run.
  void onConfiguration();
  /// Returns true once the runner may have received the request.
  [[nodiscard]] bool isRunning() const { return Running; }
  [[nodiscard]] core::Millis deadline() const { return Deadline; }

private:
  void refuseNotAdmitted();
  void claim();
  void onClaim(const ledger::ClaimDecision &decision);
  void replay(const ledger::ClaimOutcome &earlier);
  void run();
  runner::CallEvents callEvents();
  void onHead(int status, const http::Headers &fields);
  void onData(std::string data);
  void onRunnerEnd(std::error_code ec, core::Outcome outcome,
                   runner::Usage usage);
  void recordClaimOutcome(core::Outcome outcome);
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
  std::string StoredAnswer; ///< of a claimed call; replayed to retries
  std::string BillLine;     ///< once the run is billed
  bool AnswerTooLarge = false;
};

} // namespace cowslipridge::sidecar
