#pragma once

#include "cowslipridge/entry/AnswerWriter.hpp"
#include "cowslipridge/entry/CallerRequest.hpp"
#include "cowslipridge/entry/EntryContext.hpp"
#include "cowslipridge/entry/Retry.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipridge::entry {

/// One caller's request from its plan to the end of its answer. Belongs to the
/// loop's thread.
class RequestFlow final : public std::enable_shared_from_this<RequestFlow> {
public:
  /// `arrivedAt` is monotonic; `onDone` is called once, at the end.
  RequestFlow(EntryContext &context, CallerRequest request,
              std::shared_ptr<http::Responder> responder,
              core::Millis arrivedAt, std::function<void()> onDone);

  void start();
  /// Breaks an attempt off when its sidecar is suspected and another may
  /// answer in its place.
  void onSuspect(const core::InstanceId &sidecar);

private:
  /// Time to come back when nothing says more.
  static constexpr core::Millis DefaultRetryAfter{1'000};

  enum class Part { Single, Draft, Better };
  static std::string_view partName(Part part);

  bool openSession();
  void plan();
  void barTrials(route::CutOffSet &barred) const;
  void begin(Part part, const core::VersionId &version);
  void attempt();
  void send(const core::InstanceId &sidecar);
  [[nodiscard]] rpc::RunRequest makeRunRequest() const;

  void onHead(int status, http::Headers fields);
  void onFrame(const std::string &data);
  void onEnd(const rpc::RunResult &result);

  void holdBill(const rpc::RunResult &result);
  void holdUnsettledBill();
  void complete(const rpc::RunResult &result);
  void judgeDraft();
  void respondDraft();
  void respond();
  void learnFrom(const rpc::RunResult &result);

  void recover(const rpc::RunResult &result);
  void waitForOwner(core::Millis pause);
  void redirect(const core::InstanceId &owner, const rpc::RunResult &result);
  void retryElsewhere(const rpc::RunResult &result, bool isFree);
  void replan();
  void fail(const Failure &failure);
  void fail(const rpc::RunResult &result);
  void done();

  void explain(std::string text);
  [[nodiscard]] core::Millis remaining() const;
  [[nodiscard]] bool isOnTrial() const;
  /// Attempts that count; waiting for an owner does not.
  [[nodiscard]] unsigned attemptsMade() const { return Attempts - OwnerWaits; }
  [[nodiscard]] AnswerLabels labels();

  EntryContext &Context;
  const CallerRequest Request;
  AnswerWriter Answer;
  const core::Millis Deadline;
  std::function<void()> OnDone;

  route::RequestFacts Facts;
  core::SessionId Session;
  std::string SessionToken;      ///< sealed for SealedVersion
  core::VersionId SealedVersion; ///< unless the caller sent the token
  bool SessionIsPinned = false;
  route::CutOffSet Avoided; ///< versions that a sidecar refused

  Part Running = Part::Single;
  route::CascadePlan Cascade;                    ///< unless Running is Single
  double CheckScore = -1;                        ///< of a draft that was kept
  std::optional<route::RejectedAnswer> Rejected; ///< by the check
  core::VersionId Version;
  core::InstanceId Sidecar; ///< of the attempt under way
  std::vector<core::RunnerId> Tried;
  unsigned Attempts = 0;
  unsigned Redirects = 0;
  unsigned OwnerWaits = 0;

  // The answer of the attempt under way.
  std::shared_ptr<rpc::RemoteCall> Call;
  core::Millis SentAt;
  core::Millis FirstByteAfter;
  int Status = 0;
  http::Headers Fields;
  std::string Body;
  bool Done = false;
};

} // namespace cowslipridge::entry
