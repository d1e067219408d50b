#include "cowslipridge/config/FollowerStateMachine.hpp"

#include "cowslipridge/config/BundleCodec.hpp"
#include "cowslipridge/config/ContentHash.hpp"
#include "cowslipridge/core/Error.hpp"

#include <algorithm>
#include <utility>

namespace cowslipridge::config {

namespace {

constexpr std::uint64_t RankRange = std::uint64_t(1) << 32U;
constexpr unsigned RankDigits = 8;

/// Returns a number in [0, RankRange), uniformly distributed over all names.
std::uint64_t rankOf(const core::InstanceId &name) {
  const std::string hash = contentHash(name.str());
  return std::stoull(hash.substr(0, RankDigits), nullptr, 16);
}

} // namespace

FollowerStateMachine::FollowerStateMachine(FollowerSettings settings,
                                           const core::InstanceId &self)
    : Settings(settings), Rank(rankOf(self)), Retry(settings.MinRetry) {}

core::Generation FollowerStateMachine::generation() const {
  return Current ? Current->Number : core::Generation();
}

core::Millis FollowerStateMachine::age(core::Millis now) const {
  if (!ConfirmedAt)
    return UnknownAge;
  return std::clamp(now - *ConfirmedAt, core::Millis(0), UnknownAge);
}

bool FollowerStateMachine::stale(core::Millis now) const {
  return age(now) > Settings.StaleAfter;
}

bool FollowerStateMachine::watches() const {
  return Rank * FleetSize < Settings.TargetWatchers * RankRange;
}

FollowerActions FollowerStateMachine::tick(core::Millis now) {
  FollowerActions out;
  if (!StartedAt)
    StartedAt = now;
  if (Pulling && now - Pulling->IssuedAt > Settings.PullTimeout)
    Pulling.reset();
  continueReading(now, out);
  const bool grace = !ConfirmedAt && now - *StartedAt <= Settings.StaleAfter;
  if (!Stale && !grace && stale(now)) {
    Stale = true;
    out.emplace_back(ReportStale{age(now)});
  }
  return out;
}

void FollowerStateMachine::continueReading(core::Millis now,
                                           FollowerActions &out) {
  if (Reading || Assembling || now < NextReadAt)
    return;
  if (watches())
    startRead(Index == 0 ? core::Millis(0) : Settings.WatchWait, now, out);
  else if (!Current ||
           (Settings.ReadsWhenUnconfirmed && age(now) > maxUnconfirmedTime()))
    startRead(core::Millis(0), now, out);
}

core::Millis FollowerStateMachine::maxUnconfirmedTime() const {
  const auto half = static_cast<std::uint64_t>(Settings.ReadAfter.count()) / 2;
  const std::uint64_t spread = half * Rank / RankRange;
  return core::Millis(static_cast<std::int64_t>(half + spread));
}

void FollowerStateMachine::startRead(core::Millis wait, core::Millis now,
                                     FollowerActions &out) {
  const std::uint64_t index = wait == core::Millis(0) ? 0 : Index;
  Reading = Read{now, wait, index, now};
  out.emplace_back(ReadManifest{index, wait});
}

void FollowerStateMachine::backOff(core::Millis now) {
  NextReadAt = now + Retry;
  Retry = std::min(Retry * 2, Settings.MaxRetry);
  Index = 0;
}

FollowerActions FollowerStateMachine::onManifest(
    const core::Result<std::optional<std::string>> &text, std::uint64_t index,
    core::Millis now) {
  FollowerActions out;
  Read read = Reading.value_or(Read{now, core::Millis(0), 0, now});
  Reading.reset();
  if (!text.ok()) {
    backOff(now);
    return out;
  }
  Retry = Settings.MinRetry;
  Index = index;
  read.EarliestAnswerAt = earliestAnswerAt(read, index, now);
  // A store that answers long polls immediately must not be polled in a tight
  // loop.
  if (now - read.IssuedAt < read.Wait / 2)
    NextReadAt = now + Settings.MinRetry;
  if (text->has_value()) {
    applyManifest(**text, read, now, out);
  } else if (!Current) {
    NextReadAt = now + Settings.MinRetry;
    confirm(read.EarliestAnswerAt, now, out);
  } else {
    reportUnreadable("the store has no configuration", out);
  }
  continueReading(now, out);
  return out;
}

core::Millis FollowerStateMachine::earliestAnswerAt(const Read &read,
                                                    std::uint64_t index,
                                                    core::Millis now) const {
  if (!Settings.BackdatesConfirmations)
    return now;
  // A long poll without a change was answered at the end of its wait. Any other
  // answer may have been produced as early as the call and delivered late.
  const bool waited = read.Wait > core::Millis(0) && index == read.Index;
  return waited ? std::min(now, read.IssuedAt + read.Wait) : read.IssuedAt;
}

void FollowerStateMachine::applyManifest(const std::string &text,
                                         const Read &read, core::Millis now,
                                         FollowerActions &out) {
  auto manifest = decodeManifest(text);
  if (!manifest.ok()) {
    reportUnreadable("the manifest in the store is invalid", out);
    NextReadAt = now + Settings.MaxRetry;
    return;
  }
  if (Current && manifest->Number <= generation() && Settings.RefusesOlder)
    handleKnownGeneration(manifest->Number, read, now, out);
  else
    startAssembly(std::move(manifest).value(), read.EarliestAnswerAt, now, out);
}

void FollowerStateMachine::handleKnownGeneration(core::Generation number,
                                                 const Read &read,
                                                 core::Millis now,
                                                 FollowerActions &out) {
  confirm(read.EarliestAnswerAt, now, out);
  if (number < generation() && read.IssuedAt >= InForceSince)
    reportUnreadable("the store has generation " +
                         std::to_string(number.value()) +
                         ", older than the one in force",
                     out);
}

void FollowerStateMachine::startAssembly(Manifest target,
                                         core::Millis confirmedAt,
                                         core::Millis now,
                                         FollowerActions &out) {
  Assembly assembly{std::move(target), confirmedAt, {}};
  for (const auto &[name, entry] : assembly.Target.Services) {
    if (!entry.Content.empty() && !Contents.contains(entry.Content))
      assembly.Missing.insert(entry.Content);
  }
  for (const std::string &hash : assembly.Missing)
    out.emplace_back(ReadContent{hash});
  Assembling = std::move(assembly);
  finishAssembly(now, out);
}

FollowerActions FollowerStateMachine::onContent(
    const std::string &hash,
    const core::Result<std::optional<std::string>> &text, core::Millis now) {
  FollowerActions out;
  if (!Assembling || !Assembling->Missing.contains(hash))
    return out;
  if (!text.ok() || !text->has_value()) {
    // The store failed, or a newer manifest has retired the content since.
    Assembling.reset();
    backOff(now);
    return out;
  }
  auto content = decodeContent(**text);
  const bool intact = !Settings.ChecksContents || contentHash(**text) == hash;
  if (!content.ok() || !intact) {
    reportUnreadable("the content " + hash + " is corrupt", out);
    Assembling.reset();
    backOff(now);
    return out;
  }
  Contents.insert_or_assign(hash, std::move(content).value().Service);
  Assembling->Missing.erase(hash);
  finishAssembly(now, out);
  continueReading(now, out);
  return out;
}

void FollowerStateMachine::finishAssembly(core::Millis now,
                                          FollowerActions &out) {
  if (!Assembling->Missing.empty())
    return;
  Bundle bundle;
  bundle.Number = Assembling->Target.Number;
  std::map<std::string, ServiceDeclaration> used;
  for (const auto &[name, entry] : Assembling->Target.Services) {
    if (entry.Content.empty())
      continue;
    bundle.Services.emplace(name, Contents.at(entry.Content));
    used.emplace(entry.Content, Contents.at(entry.Content));
  }
  Contents = std::move(used);
  const core::Millis confirmedAt = Assembling->ConfirmedAt;
  Assembling.reset();
  putInForce(std::move(bundle), now, out);
  confirm(confirmedAt, now, out);
}

void FollowerStateMachine::putInForce(Bundle bundle, core::Millis now,
                                      FollowerActions &out) {
  if (Current && bundle.Number <= Current->Number && Settings.RefusesOlder)
    return;
  Current = std::make_shared<const Bundle>(std::move(bundle));
  InForceSince = now;
  LastUnreadable.clear();
  out.emplace_back(PutInForce{Current});
}

void FollowerStateMachine::confirm(core::Millis at, core::Millis now,
                                   FollowerActions &out) {
  ConfirmedAt = std::max(ConfirmedAt.value_or(at), at);
  if (!Stale || stale(now))
    return;
  Stale = false;
  out.emplace_back(ReportConfirmed{});
}

FollowerActions
FollowerStateMachine::onPeerReport(const core::InstanceId &peer,
                                   const PeerConfiguration &report,
                                   core::Millis now) {
  FollowerActions out;
  if (Current && report.Number <= generation()) {
    confirm(report.EarliestSentAt - report.Age, now, out);
    return out;
  }
  const bool ahead = generation() < report.Number;
  if (!ahead || Pulling || !Settings.PullsFromPeers)
    return out;
  Pulling = Pull{peer, now};
  out.emplace_back(PullBundle{peer});
  return out;
}

FollowerActions
FollowerStateMachine::onBundle(const core::InstanceId &peer,
                               const core::Result<std::string> &text,
                               core::Millis now) {
  FollowerActions out;
  if (Pulling && Pulling->Peer == peer)
    Pulling.reset();
  if (!text.ok())
    return out;
  auto bundle = decodeBundle(*text);
  if (!bundle.ok()) {
    reportUnreadable("the bundle of " + peer.str() + " is invalid", out);
    return out;
  }
  putInForce(std::move(bundle).value(), now, out);
  if (Assembling && Assembling->Target.Number <= generation()) {
    confirm(Assembling->ConfirmedAt, now, out);
    Assembling.reset();
    continueReading(now, out);
  }
  return out;
}

void FollowerStateMachine::reportUnreadable(std::string detail,
                                            FollowerActions &out) {
  if (detail == LastUnreadable)
    return;
  LastUnreadable = detail;
  out.emplace_back(ReportUnreadable{std::move(detail)});
}

} // namespace cowslipridge::config
