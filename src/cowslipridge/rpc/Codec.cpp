#include "cowslipridge/rpc/Codec.hpp"

#include "cowslipridge/core/Error.hpp"

#include <algorithm>
#include <limits>

namespace cowslipridge::rpc {

using core::Errc;

namespace {

constexpr double MicroPerUnit = 1e6;

std::string toString(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

std::uint32_t toWire32(core::Millis time) {
  constexpr std::int64_t Max = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(time.count(), 0, Max));
}

wire::Outcome toWire(core::Outcome outcome) {
  switch (outcome) {
  case core::Outcome::Ran:
    return wire::Outcome::RAN;
  case core::Outcome::NotRun:
    return wire::Outcome::NOT_RUN;
  case core::Outcome::Unknown:
    break;
  }
  return wire::Outcome::UNKNOWN;
}

// Maps outcomes that only a newer peer's schema defines to Unknown.
core::Outcome fromWire(wire::Outcome outcome) {
  switch (outcome) {
  case wire::Outcome::RAN:
    return core::Outcome::Ran;
  case wire::Outcome::NOT_RUN:
    return core::Outcome::NotRun;
  case wire::Outcome::UNKNOWN:
    break;
  }
  return core::Outcome::Unknown;
}

std::error_code errorFromWire(std::uint32_t value) {
  if (value == 0)
    return {};
  if (value > static_cast<std::uint32_t>(Errc::Internal))
    return Errc::Internal;
  return static_cast<Errc>(value);
}

std::uint32_t toWire(std::error_code ec) {
  if (!ec)
    return 0;
  if (ec.category() != core::errorCategory())
    return static_cast<std::uint32_t>(Errc::Internal);
  return static_cast<std::uint32_t>(ec.value());
}

void encode(const rollout::EvidenceRecord &record,
            wire::Evidence::Builder out) {
  out.setSource(record.Source.Instance.str());
  out.setIncarnation(record.Source.Start.value());
  out.setService(record.Key.Service.str());
  out.setVersion(record.Key.Version.str());
  out.setOrganisation(record.Key.Organisation.str());
  out.setRequests(record.Counters.Requests);
  out.setGrades(record.Counters.Grades);
  out.setScoreSumMicro(record.Counters.ScoreSumMicro);
  out.setBadGrades(record.Counters.BadGrades);
  out.setBadScoreSumMicro(record.Counters.BadScoreSumMicro);
}

rollout::EvidenceRecord decode(wire::Evidence::Reader in) {
  rollout::EvidenceRecord record;
  record.Source.Instance = core::InstanceId(toString(in.getSource()));
  record.Source.Start = core::Incarnation(in.getIncarnation());
  record.Key.Service = core::ServiceId(toString(in.getService()));
  record.Key.Version = core::VersionId(toString(in.getVersion()));
  record.Key.Organisation =
      core::OrganisationId(toString(in.getOrganisation()));
  record.Counters.Requests = in.getRequests();
  record.Counters.Grades = in.getGrades();
  record.Counters.ScoreSumMicro = in.getScoreSumMicro();
  record.Counters.BadGrades = in.getBadGrades();
  record.Counters.BadScoreSumMicro = in.getBadScoreSumMicro();
  return record;
}

void encode(const CutOffNotification &notification, wire::CutOff::Builder out) {
  out.setService(notification.Cut.Service.str());
  out.setVersion(notification.Cut.Version.str());
  out.setOrganisation(notification.Cut.Organisation.str());
  out.setReason(notification.Cut.Reason);
  out.setGeneration(notification.Configuration.value());
}

CutOffNotification decode(wire::CutOff::Reader in) {
  CutOffNotification notification;
  notification.Cut.Service = core::ServiceId(toString(in.getService()));
  notification.Cut.Version = core::VersionId(toString(in.getVersion()));
  notification.Cut.Organisation =
      core::OrganisationId(toString(in.getOrganisation()));
  notification.Cut.Reason = toString(in.getReason());
  notification.Configuration = core::Generation(in.getGeneration());
  return notification;
}

void encode(const backing::Grade &grade, wire::Grade::Builder out) {
  out.setRequest(grade.Request.str());
  const double score = std::clamp(grade.Score, 0.0, 1.0);
  out.setScoreMicro(static_cast<std::uint32_t>(score * MicroPerUnit));
}

backing::Grade decode(wire::Grade::Reader in) {
  const double score = std::min(1.0, in.getScoreMicro() / MicroPerUnit);
  return {core::RequestId(toString(in.getRequest())), score};
}

} // namespace

std::string toString(capnp::Data::Reader data) {
  return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

capnp::Data::Reader toData(const std::string &text) {
  return {reinterpret_cast<const kj::byte *>(text.data()), text.size()};
}

void encode(const PeerStatus &status, wire::Status::Builder out) {
  out.setInstance(status.Instance.str());
  out.setIncarnation(status.Start.value());
  out.setGeneration(status.Configuration.value());
  out.setGenerationAgeMs(toWire32(status.ConfigurationAge));
  out.setTrialShareMicro(static_cast<std::uint32_t>(
      std::clamp(status.TrialShare, 0.0, 1.0) * MicroPerUnit));
  out.setLeaving(status.Leaving);
  out.setInFlight(status.InFlight);
  out.setQueued(status.Queued);
  out.setConcurrencyLimit(status.ConcurrencyLimit);
  out.setPredictedWaitMs(toWire32(status.PredictedWait));
  auto evidence = out.initEvidence(status.Evidence.size());
  for (unsigned n = 0; n < evidence.size(); ++n)
    encode(status.Evidence[n], evidence[n]);
  auto cutOffs = out.initCutOffs(status.CutOffs.size());
  for (unsigned n = 0; n < cutOffs.size(); ++n)
    encode(status.CutOffs[n], cutOffs[n]);
  auto grades = out.initGrades(status.Grades.size());
  for (unsigned n = 0; n < grades.size(); ++n)
    encode(status.Grades[n], grades[n]);
  auto billed = out.initBilled(status.Billed.size());
  for (unsigned n = 0; n < billed.size(); ++n)
    billed.set(n, status.Billed[n].str());
}

core::Result<PeerStatus> decode(wire::Status::Reader in) {
  if (in.getEvidence().size() > MaxEvidencePerStatus ||
      in.getCutOffs().size() > MaxEvidencePerStatus ||
      in.getGrades().size() > MaxEvidencePerStatus ||
      in.getBilled().size() > MaxEvidencePerStatus)
    return Errc::Malformed;
  PeerStatus status;
  status.Instance = core::InstanceId(toString(in.getInstance()));
  status.Start = core::Incarnation(in.getIncarnation());
  status.Configuration = core::Generation(in.getGeneration());
  status.ConfigurationAge = core::Millis(in.getGenerationAgeMs());
  status.TrialShare = std::min(1.0, in.getTrialShareMicro() / MicroPerUnit);
  status.Leaving = in.getLeaving();
  status.InFlight = in.getInFlight();
  status.Queued = in.getQueued();
  status.ConcurrencyLimit = in.getConcurrencyLimit();
  status.PredictedWait = core::Millis(in.getPredictedWaitMs());
  for (const auto &it : in.getEvidence())
    status.Evidence.push_back(decode(it));
  for (const auto &it : in.getCutOffs())
    status.CutOffs.push_back(decode(it));
  for (const auto &it : in.getGrades())
    status.Grades.push_back(decode(it));
  for (const auto &it : in.getBilled())
    status.Billed.emplace_back(toString(it));
  return status;
}

void encode(const http::Headers &fields,
            capnp::List<wire::Header>::Builder out) {
  for (unsigned n = 0; n < out.size(); ++n) {
    out[n].setName(fields[n].Name);
    out[n].setValue(fields[n].Value);
  }
}

core::Result<http::Headers> decode(capnp::List<wire::Header>::Reader in) {
  if (in.size() > MaxHeadersPerMessage)
    return Errc::Malformed;
  http::Headers fields;
  for (const auto &it : in)
    fields.push_back({toString(it.getName()), toString(it.getValue())});
  return fields;
}

void encode(const RunRequest &request, wire::RunRequest::Builder out) {
  encode(request.Sender, out.initStatus());
  out.setRequest(request.Request.str());
  out.setOrganisation(request.Organisation.str());
  out.setService(request.Service.str());
  out.setVersion(request.Version.str());
  out.setSession(request.Session.str());
  out.setSessionIsPinned(request.SessionIsPinned);
  out.setIdempotencyKey(request.IdempotencyKey);
  out.setIdempotent(request.Idempotent);
  out.setMethod(request.Method);
  out.setTarget(request.Target);
  encode(request.Fields, out.initHeaders(request.Fields.size()));
  out.setBody(toData(request.Body));
  out.setStream(request.Stream);
  out.setRemainingMs(toWire32(request.Remaining));
  out.setAttempt(request.Attempt);
  out.setPart(request.Part);
  out.setBillable(request.Billable);
  auto hashes = out.initPrefixHashes(request.PrefixHashes.size());
  for (unsigned n = 0; n < hashes.size(); ++n)
    hashes.set(n, request.PrefixHashes[n]);
}

core::Result<RunRequest> decode(wire::RunRequest::Reader in) {
  core::Result<PeerStatus> sender = decode(in.getStatus());
  core::Result<http::Headers> fields = decode(in.getHeaders());
  const bool complete = in.getRequest().size() > 0 &&
                        in.getOrganisation().size() > 0 &&
                        in.getService().size() > 0;
  if (!sender || !fields || !complete ||
      in.getPrefixHashes().size() > MaxPrefixHashes)
    return Errc::Malformed;
  RunRequest request;
  request.Sender = std::move(sender).value();
  request.Request = core::RequestId(toString(in.getRequest()));
  request.Organisation = core::OrganisationId(toString(in.getOrganisation()));
  request.Service = core::ServiceId(toString(in.getService()));
  request.Version = core::VersionId(toString(in.getVersion()));
  request.Session = core::SessionId(toString(in.getSession()));
  request.SessionIsPinned = in.getSessionIsPinned();
  request.IdempotencyKey = toString(in.getIdempotencyKey());
  request.Idempotent = in.getIdempotent();
  request.Method = toString(in.getMethod());
  request.Target = toString(in.getTarget());
  request.Fields = std::move(fields).value();
  request.Body = toString(in.getBody());
  request.Stream = in.getStream();
  request.Remaining = core::Millis(in.getRemainingMs());
  request.Attempt = in.getAttempt();
  request.Part = toString(in.getPart());
  request.Billable = in.getBillable();
  for (const std::uint64_t it : in.getPrefixHashes())
    request.PrefixHashes.push_back(it);
  return request;
}

void encode(const RunResult &result, wire::RunResult::Builder out) {
  encode(result.Callee, out.initStatus());
  out.setOutcome(toWire(result.Result));
  out.setError(toWire(result.Error));
  out.setDetail(result.Detail);
  out.setRetryAfterMs(toWire32(result.RetryAfter));
  out.setOwnerInstance(result.Owner.str());
  out.setPromptTokens(result.PromptTokens);
  out.setCachedTokens(result.CachedTokens);
  out.setAnswerTokens(result.AnswerTokens);
  out.setFrames(result.Frames);
  out.setVersion(result.Version.str());
  out.setReplayed(result.Replayed);
  out.setBill(toData(result.BillLine));
}

core::Result<RunResult> decode(wire::RunResult::Reader in) {
  core::Result<PeerStatus> callee = decode(in.getStatus());
  if (!callee)
    return callee.error();
  RunResult result;
  result.Callee = std::move(callee).value();
  result.Result = fromWire(in.getOutcome());
  result.Error = errorFromWire(in.getError());
  result.Detail = toString(in.getDetail());
  result.RetryAfter = core::Millis(in.getRetryAfterMs());
  result.Owner = core::InstanceId(toString(in.getOwnerInstance()));
  result.PromptTokens = in.getPromptTokens();
  result.CachedTokens = in.getCachedTokens();
  result.AnswerTokens = in.getAnswerTokens();
  result.Frames = in.getFrames();
  result.Version = core::VersionId(toString(in.getVersion()));
  result.Replayed = in.getReplayed();
  result.BillLine = toString(in.getBill());
  return result;
}

} // namespace cowslipridge::rpc
