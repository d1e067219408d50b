#pragma once

#include "cowslipridge/core/PauseDetector.hpp"
#include "cowslipridge/rollout/RolloutRecord.hpp"
#include "cowslipridge/rpc/ConfigurationPort.hpp"
#include "cowslipridge/rpc/EvidenceFeed.hpp"
#include "cowslipridge/rpc/Server.hpp"
#include "cowslipridge/sidecar/BillReceipts.hpp"
#include "cowslipridge/sidecar/GradeOutbox.hpp"
#include "cowslipridge/sidecar/KeyedAnswerCache.hpp"
#include "cowslipridge/sidecar/RunFlow.hpp"
#include "cowslipridge/sidecar/SidecarContext.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cowslipridge::sidecar {

/// One sidecar: admits requests of entries to its runner and exchanges status
/// with entries. Methods must be called on the loop's thread unless documented
/// otherwise.
class Sidecar final : public rpc::PeerHandler,
                      public FlowOwner,
                      public std::enable_shared_from_this<Sidecar> {
public:
  Sidecar(rpc::EventLoop &loop, const core::Clock &time,
          observe::EventLog &events, SidecarSettings settings,
          rpc::ConfigurationPort source, OpenJournal openJournal,
          OpenRunner openRunner);
  ~Sidecar() override;

  /// Applies a configuration if it is newer than the current one.
  void configure(std::shared_ptr<const config::Bundle> bundle);
  /// Starts the periodic work: queue deadlines and pause detection.
  void startTicking();
  /// Reports in every status that this instance drains; requests are still
  /// accepted.
  void announceDraining();
  /// Refuses all requests that have not started, including later ones.
  void drain();
  [[nodiscard]] bool idle() const;
  /// Applies grades of answers of this sidecar.
  void applyGrades(const std::vector<backing::Grade> &grades);
  /// Applies the store's record of the service's roll-out.
  void applyRolloutRecord(const rollout::RolloutRecord &record);
  /// Sets this sidecar's rank among the `count` sidecars that serve the trial
  /// version.
  void setTrialPeers(unsigned rank, unsigned count);
  /// Sets the listener for roll-out actions that follow from evidence.
  void setRolloutListener(
      std::function<void(const rollout::RolloutActions &)> listener);
  /// Returns the journal, or null before the first configuration.
  [[nodiscard]] std::shared_ptr<ledger::Ledger> journal() const;
  [[nodiscard]] rpc::PeerStatus status() const;
  [[nodiscard]] SidecarContext &context() { return Context; }

  // rpc::PeerHandler
  std::shared_ptr<rpc::IncomingCall>
  run(rpc::RunRequest request, std::shared_ptr<rpc::AnswerSink> sink) override;
  rpc::PeerStatus exchange(const rpc::PeerStatus &status) override;
  rpc::BundleContent bundle() override;
  core::Generation offerBundle(const core::InstanceId &sender,
                               rpc::BundleContent content) override;
  unsigned deliverBills(const core::InstanceId &sender,
                        const std::vector<std::string> &lines) override;

  // FlowOwner
  rpc::PeerStatus statusFor(const core::InstanceId &peer) override;
  void apply(const limits::AdmissionActions &actions) override;
  void onFlowEnd(const core::RequestId &ticket) override;
  void store(const ledger::Bill &bill, const core::InstanceId &entry) override;
  [[nodiscard]] std::optional<core::Errc>
  refusalOf(const rpc::RunRequest &request) const override;

private:
  void onPeerStatus(const rpc::PeerStatus &status);
  void recheckQueuedRequests();
  void createComponents(const config::ServiceDeclaration &service);
  void tick();
  void sweep(core::Millis now);
  void report(const rollout::RolloutActions &actions);
  std::shared_ptr<rpc::IncomingCall>
  runKeyed(rpc::RunRequest request, std::shared_ptr<rpc::AnswerSink> sink);
  std::shared_ptr<RunFlow> admit(rpc::RunRequest request,
                                 std::shared_ptr<rpc::AnswerSink> sink);

  SidecarContext Context;
  const rpc::ConfigurationPort Source;
  OpenJournal MakeJournal;
  OpenRunner MakeRunner;
  std::function<void(const rollout::RolloutActions &)> RolloutListener;
  core::PauseDetector Pauses;
  rpc::EvidenceFeed EvidenceToForward;
  KeyedAnswerCache Answers;
  GradeOutbox Grades;
  BillReceipts Receipts;
  unsigned RolloutStep = 0;
  core::Millis LastSweep;
  std::map<core::RequestId, std::shared_ptr<RunFlow>> Flows; ///< by ticket
  std::uint64_t NextTicket = 1;
};

} // namespace cowslipridge::sidecar
