#pragma once

#include "cowslipridge/rollout/RolloutRecord.hpp"
#include "cowslipridge/rpc/ConfigurationPort.hpp"
#include "cowslipridge/rpc/EvidenceFeed.hpp"
#include "cowslipridge/rpc/Server.hpp"
#include "cowslipridge/sidecar/BillReceipts.hpp"
#include "cowslipridge/sidecar/GradeOutbox.hpp"
#include "cowslipridge/sidecar/KeyedAnswers.hpp"
#include "cowslipridge/sidecar/PauseDetector.hpp"
#include "cowslipridge/sidecar/RunFlow.hpp"
#include "cowslipridge/sidecar/SidecarContext.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cowslipridge::sidecar {

/// The work of one sidecar. Methods belong to the loop's thread unless they
/// say otherwise.
class Sidecar final : public rpc::PeerHandler,
                      public FlowOwner,
                      public std::enable_shared_from_this<Sidecar> {
public:
  Sidecar(rpc::EventLoop &loop, const core::Clock &time,
          observe::EventLog &events, SidecarSettings settings,
          rpc::ConfigurationPort source, OpenJournal openJournal,
          OpenRunner openRunner);
  ~Sidecar() override;

  /// Puts a newer configuration in force; older ones are ignored.
  void configure(std::shared_ptr<const config::Bundle> bundle);
  /// Starts the regular work: deadlines in the queue, pause detection.
  void startTicking();
  /// Says in every reply that this instance is leaving; work is still taken.
  void announceLeaving();
  /// Refuses all work that has not started, now and later.
  void drain();
  [[nodiscard]] bool idle() const;
  /// Takes grades of answers given here.
  void takeGrades(const std::vector<backing::Grade> &grades);
  /// What the store records of the service's roll-out.
  void takeRollout(const rollout::RolloutRecord &record);
  /// This sidecar's place among those that serve the trial version.
  void setTrialPeers(unsigned rank, unsigned count);
  /// Called with what evidence decides.
  void onRollout(std::function<void(const rollout::RolloutActions &)> listener);
  /// The journal; null before the first configuration.
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
  void forget(const core::RequestId &ticket) override;
  void store(const ledger::Bill &bill, const core::InstanceId &entry) override;
  [[nodiscard]] std::optional<core::Errc>
  refusalOf(const rpc::RunRequest &request) const override;

private:
  void hear(const rpc::PeerStatus &status);
  void refuseWaitingUnpermitted();
  void openParts(const config::ServiceDeclaration &service);
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
  PauseDetector Pauses;
  rpc::EvidenceFeed Spread;
  KeyedAnswers Answers;
  GradeOutbox Grades;
  BillReceipts Receipts;
  unsigned RolloutStep = 0;
  core::Millis LastSweep;
  std::map<core::RequestId, std::shared_ptr<RunFlow>> Flows; ///< by ticket
  std::uint64_t NextTicket = 1;
};

} // namespace cowslipridge::sidecar
