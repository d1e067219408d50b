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

/// The life cycle of one caller's request, from its plan to the end of its
/// answer. Used only on the loop's thread.
class RequestFlow final : public std::enable_shared_from_this<RequestFlow> {
public:
  /// `arrivedAt` is monotonic. Calls `onDone` once, after the answer ends.
  RequestFlow(EntryContext &context, CallerRequest request,
              std::shared_ptr<http::Responder> responder,
              core::Millis arrivedAt, std::function<void()> onDone);

  void start();
  /// Cancels the current attempt if it runs on a sidecar that is suspected to
  /// have failed and another sidecar may serve the request instead.
  void onSuspect(const core::InstanceId &sidecar);

private:
  /// Retry-After of errors for which no sidecar gave a time.
  static constexpr core::Millis DefaultRetryAfter{1'000};

  enum class Part { Single, Draft, Better };
  static std::string_view partName(Part part);

  bool openSession();
  void plan();
  void excludeTrials(route::CutOffSet &excluded) const;
  void begin(Part part, const core::VersionId &version);
  void attempt();
  void send(const core::InstanceId &sidecar);
  [[nodiscard]] rpc::RunRequest makeRunRequest() const;

  void onHead(int status, http::Headers fields);
  void onFrame(const std::string &data);
  void onEnd(const rpc::RunResult &result);

  void holdBill(const rpc::RunResult &result);
  void holdUnknownOutcomeBill();
  void complete(const rpc::RunResult &result);
  void checkDraft();
  void respondDraft();
  void respond();
  void recordObservations(const rpc::RunResult &result);

  void recover(const rpc::RunResult &result);
  void waitForOwner(core::Millis delay);
  void redirect(const core::InstanceId &owner, const rpc::RunResult &result);
  void retryElsewhere(const rpc::RunResult &result, bool isFree);
  void replan();
  void fail(const Failure &failure);
  void fail(const rpc::RunResult &result);
  void finish();

  void explain(std::string text);
  [[nodiscard]] core::Millis remaining() const;
  [[nodiscard]] bool isOnTrial() const;
  /// Returns the number of attempts without those that only waited for an
  /// owner.
  [[nodiscard]] unsigned attemptsMade() const { return Attempts - OwnerWaits; }
  [[nodiscard]] AnswerLabels labels();

  EntryContext &Context;
  const CallerRequest Request;
  AnswerWriter Answer;
  const core::Millis Deadline;
  std::function<void()> OnDone;

  route::RequestContext Routing;
  core::SessionId Session;
  std::string SessionToken;      ///< sealed for SealedVersion, or as received
  core::VersionId SealedVersion; ///< empty if the caller sent the token
  bool SessionIsPinned = false;
  route::CutOffSet RefusedVersions; ///< by a sidecar; not planned again

  Part CurrentPart = Part::Single;
  route::CascadePlan Cascade; ///< unless CurrentPart is Single
  double CheckScore = -1;     ///< of an accepted draft; else -1
  std::optional<route::RejectedAnswer> Rejected; ///< draft that failed check
  core::VersionId Version;
  core::InstanceId Sidecar; ///< of the current attempt
  std::vector<core::RunnerId> Tried;
  unsigned Attempts = 0;
  unsigned Redirects = 0;
  unsigned OwnerWaits = 0;

  // The answer of the current attempt.
  std::shared_ptr<rpc::RemoteCall> Call;
  core::Millis SentAt;
  core::Millis FirstByteAfter;
  int Status = 0;
  http::Headers Fields;
  std::string Body;
  bool Done = false;
};

} // namespace cowslipridge::entry
