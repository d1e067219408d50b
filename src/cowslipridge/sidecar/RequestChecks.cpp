#include "cowslipridge/sidecar/RequestChecks.hpp"

#include <algorithm>

namespace cowslipridge::sidecar {

using core::Errc;

namespace {

std::optional<Errc> findVersionRefusal(const rpc::RunRequest &request,
                                       const config::ServiceDeclaration &it) {
  const config::VersionDeclaration *version = it.findVersion(request.Version);
  if (version == nullptr)
    return Errc::UnknownVersion;
  if (version->State == config::VersionState::Withdrawn)
    return request.SessionIsPinned ? Errc::SessionEnded
                                   : Errc::VersionWithdrawn;
  if (!it.permits(request.Organisation, request.Version))
    return Errc::NotAllowed;
  return std::nullopt;
}

} // namespace

std::optional<Errc> findRefusal(const rpc::RunRequest &request,
                                const AdmissionContext &context) {
  if (context.IsDraining)
    return Errc::Leaving;
  if (context.Configuration == nullptr)
    return Errc::StaleGeneration;
  const config::ServiceDeclaration *service =
      context.Configuration->findService(request.Service);
  if (service == nullptr || request.Service != context.Service)
    return Errc::UnknownService;
  if (const auto refusal = findVersionRefusal(request, *service))
    return refusal;
  const auto served = std::find(context.Versions.begin(),
                                context.Versions.end(), request.Version);
  if (served == context.Versions.end())
    return Errc::NoRunner;
  if (request.Remaining <= core::Millis(0))
    return Errc::DeadlineExceeded;
  return std::nullopt;
}

} // namespace cowslipridge::sidecar
