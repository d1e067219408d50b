#include "cowslipridge/observe/EventCatalogue.hpp"

#include <algorithm>
#include <array>

namespace cowslipridge::observe {

namespace {

using enum EventNumber;
using enum Severity;

constexpr std::array Catalogue = {
    CatalogueEntry{ProcessStarted, Info, "process-started",
                   "The daemon read its settings and began to start."},
    CatalogueEntry{ProcessReady, Info, "process-ready",
                   "The daemon accepts work."},
    CatalogueEntry{ProcessLeaving, Info, "process-leaving",
                   "The daemon is draining and rejects new work."},
    CatalogueEntry{ProcessStopped, Info, "process-stopped",
                   "The daemon stopped after finishing its work."},
    CatalogueEntry{SettingsRefused, Error, "settings-refused",
                   "The settings file is invalid; the daemon does not start."},
    CatalogueEntry{PauseDetected, Warning, "pause-detected",
                   "The process was not scheduled for longer than the limit."},
    CatalogueEntry{SettingsChecked, Info, "settings-checked",
                   "The settings file was read again and is valid."},
    CatalogueEntry{
        LogSuppressed, Warning, "log-suppressed",
        "Log lines were suppressed to keep the log within its limits."},
    CatalogueEntry{UnexpectedError, Error, "unexpected-error",
                   "A handler threw an exception; the process goes on."},
    CatalogueEntry{BuffersFull, Warning, "buffers-full",
                   "The bytes held for callers and runners reached their "
                   "limit."},
    CatalogueEntry{ConfigurationInForce, Info, "configuration-in-force",
                   "A newer configuration generation took effect here."},
    CatalogueEntry{ConfigurationStale, Warning, "configuration-stale",
                   "Neither the store nor a peer confirmed the configuration."},
    CatalogueEntry{ConfigurationRefused, Error, "configuration-refused",
                   "A published configuration could not be read."},
    CatalogueEntry{ConfigurationConfirmed, Info, "configuration-confirmed",
                   "A stale configuration was confirmed again."},
    CatalogueEntry{PeerConnected, Info, "peer-connected",
                   "A peer authenticated with the fleet key."},
    CatalogueEntry{PeerRefused, Warning, "peer-refused",
                   "A connection failed to authenticate with the fleet key."},
    CatalogueEntry{PeerLost, Warning, "peer-lost",
                   "The connection to a peer ended."},
    CatalogueEntry{PeerRegistered, Info, "peer-registered",
                   "Another gateway is registered in the store."},
    CatalogueEntry{
        PeerRemoved, Info, "peer-removed",
        "The registration of another gateway expired or was removed."},
    CatalogueEntry{
        PeerSnapshotTaken, Info, "peer-snapshot-taken",
        "The store lacks state that a peer has; its snapshot was applied."},
    CatalogueEntry{PeerTimedOut, Warning, "peer-timed-out",
                   "A peer's reports timed out; its load no longer counts."},
    CatalogueEntry{PeerReporting, Info, "peer-reporting",
                   "A peer's reports arrived again, or for the first time."},
    CatalogueEntry{RunnerRegistered, Info, "runner-registered",
                   "A runner registered, or changed its entry."},
    CatalogueEntry{RunnerDraining, Info, "runner-draining",
                   "A runner is draining; it gets no new requests."},
    CatalogueEntry{
        RunnerRemoved, Info, "runner-removed",
        "A runner's entry expired or was removed; it gets no requests."},
    CatalogueEntry{EntryRefused, Warning, "entry-refused",
                   "An entry of the store cannot be read; it is ignored."},
    CatalogueEntry{RunnerEjected, Warning, "runner-ejected",
                   "A runner failed requests and is temporarily ejected."},
    CatalogueEntry{RunnerReadmitted, Info, "runner-readmitted",
                   "An ejected runner served a request again."},
    CatalogueEntry{RunnerLeaving, Info, "runner-leaving",
                   "A runner announced its shutdown in a response; it gets no "
                   "new requests."},
    CatalogueEntry{RunnerBackoff, Warning, "runner-backoff",
                   "A runner rejected a request and gets no more for the time "
                   "that it named."},
    CatalogueEntry{SegmentQuarantined, Warning, "segment-quarantined",
                   "Prompts with a segment that crashes runners are rejected."},
    CatalogueEntry{RunnerRateLimit, Info, "runner-rate-limit",
                   "A runner names the rate of requests that it takes, or no "
                   "longer does."},
    CatalogueEntry{ContentQuarantined, Warning, "content-quarantined",
                   "A request that crashes runners is rejected, whatever its "
                   "id."},
    CatalogueEntry{RunnerSuspected, Warning, "runner-suspected",
                   "A runner is out of reach and may have restarted; its load "
                   "is limited until more is known."},
    CatalogueEntry{RunnerCold, Info, "runner-cold",
                   "A runner is cold, or may be; its load is limited."},
    CatalogueEntry{EvacuationOrdered, Warning, "evacuation-ordered",
                   "A failure domain is evacuated; its runners get nothing "
                   "new."},
    CatalogueEntry{EvacuationEnded, Info, "evacuation-ended",
                   "A failure domain is in service again."},
    CatalogueEntry{RelayStarted, Info, "relay-started",
                   "This gateway relays its failure domain's reports."},
    CatalogueEntry{RelayEnded, Info, "relay-ended",
                   "Another gateway relays its failure domain's reports."},
    CatalogueEntry{PeerDatagramsRefused, Warning, "peer-datagrams-refused",
                   "Datagrams of peers could not be decoded; they are "
                   "ignored."},
    CatalogueEntry{RegistrationConfirmed, Info, "registration-confirmed",
                   "This gateway is registered in the store."},
    CatalogueEntry{RegistrationLost, Warning, "registration-lost",
                   "The store has lost this gateway's registration."},
    CatalogueEntry{RequestReceived, Info, "request-received",
                   "A caller's request arrived."},
    CatalogueEntry{RequestRouted, Info, "request-routed",
                   "A version and a runner were chosen."},
    CatalogueEntry{RequestRetried, Warning, "request-retried",
                   "The request is retried on another runner after a failure."},
    CatalogueEntry{RequestEnded, Info, "request-ended",
                   "The caller received the complete answer."},
    CatalogueEntry{RequestRefused, Warning, "request-refused",
                   "The caller received an error."},
    CatalogueEntry{
        RequestEscalated, Info, "request-escalated",
        "A cascade escalated to its larger model or better version."},
    CatalogueEntry{RequestAbandoned, Info, "request-abandoned",
                   "The caller disconnected before its answer was complete."},
    CatalogueEntry{
        RequestKept, Info, "request-kept",
        "A low-confidence answer was accepted; no larger model had capacity."},
    CatalogueEntry{RequestWaits, Info, "request-waits",
                   "The request keeps waiting on an unresponsive runner; no "
                   "other has capacity."},
    CatalogueEntry{RefusalUnstated, Warning, "refusal-unstated",
                   "A runner refused a request without stating that it did not "
                   "run."},
    CatalogueEntry{RequestIdRepeated, Warning, "request-id-repeated",
                   "A caller sent the id of an earlier request again."},
    CatalogueEntry{AnswerBroken, Warning, "answer-broken",
                   "A runner sent bytes that are no answer, or an answer that "
                   "can't be passed on."},
    CatalogueEntry{RunStarted, Info, "run-started",
                   "The runner was given a request."},
    CatalogueEntry{RunEnded, Info, "run-ended", "The runner's answer ended."},
    CatalogueEntry{RunRefused, Warning, "run-refused",
                   "The sidecar refused to run a request."},
    CatalogueEntry{RunReplayed, Info, "run-replayed",
                   "A retry got the answer of an earlier attempt."},
    CatalogueEntry{ClaimCommitted, Info, "claim-committed",
                   "The claim of a non-idempotent request is in the journal."},
    CatalogueEntry{JournalSealed, Warning, "journal-sealed",
                   "A journal was sealed; its owner can append no more."},
    CatalogueEntry{JournalTakenOver, Warning, "journal-taken-over",
                   "The shards of a sealed journal have a new owner."},
    CatalogueEntry{StoreUnavailable, Warning, "store-unavailable",
                   "The key-value service became unreachable."},
    CatalogueEntry{StoreAvailable, Info, "store-available",
                   "The key-value service is reachable again."},
    CatalogueEntry{BillWritten, Info, "bill-written",
                   "Bill lines are in the journal."},
    CatalogueEntry{StoreRestored, Warning, "store-restored",
                   "The key-value service was restored from an older copy."},
    CatalogueEntry{VersionCutOff, Warning, "version-cut-off",
                   "A version was cut off on evidence."},
    CatalogueEntry{RolloutAdvanced, Info, "rollout-advanced",
                   "A roll-out moved to its next step."},
    CatalogueEntry{RolloutEnded, Info, "rollout-ended",
                   "A roll-out reached its final state."},
};

} // namespace

std::span<const CatalogueEntry> eventCatalogue() { return Catalogue; }

const CatalogueEntry &describe(EventNumber number) {
  const auto *it =
      std::find_if(Catalogue.begin(), Catalogue.end(),
                   [&](const CatalogueEntry &x) { return x.Number == number; });
  return it == Catalogue.end() ? Catalogue.front() : *it;
}

} // namespace cowslipridge::observe
