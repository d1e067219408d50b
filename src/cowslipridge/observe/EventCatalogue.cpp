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
                   "The daemon takes work."},
    CatalogueEntry{ProcessLeaving, Info, "process-leaving",
                   "The daemon drains: it refuses new work."},
    CatalogueEntry{ProcessStopped, Info, "process-stopped",
                   "The daemon ended after its work was done."},
    CatalogueEntry{
        SettingsRefused, Error, "settings-refused",
        "The settings file has findings; the daemon does not start."},
    CatalogueEntry{PauseDetected, Warning, "pause-detected",
                   "The process was not scheduled for longer than the limit."},
    CatalogueEntry{SettingsChecked, Info, "settings-checked",
                   "The settings file was read again and is sound."},
    CatalogueEntry{LogSuppressed, Warning, "log-suppressed",
                   "Lines were left out to keep the log within its bounds."},
    CatalogueEntry{ConfigurationInForce, Info, "configuration-in-force",
                   "A newer configuration generation took effect here."},
    CatalogueEntry{ConfigurationStale, Warning, "configuration-stale",
                   "Neither the store nor a peer confirmed the configuration."},
    CatalogueEntry{ConfigurationRefused, Error, "configuration-refused",
                   "A published configuration could not be read."},
    CatalogueEntry{ConfigurationConfirmed, Info, "configuration-confirmed",
                   "A stale configuration was confirmed again."},
    CatalogueEntry{PeerConnected, Info, "peer-connected",
                   "A peer proved the fleet key."},
    CatalogueEntry{PeerRefused, Warning, "peer-refused",
                   "A connection failed to prove the fleet key."},
    CatalogueEntry{PeerLost, Warning, "peer-lost",
                   "The connection to a peer ended."},
    CatalogueEntry{PeerRegistered, Info, "peer-registered",
                   "Another gateway is registered in the store."},
    CatalogueEntry{PeerGone, Info, "peer-gone",
                   "The registration of another gateway ended."},
    CatalogueEntry{PeerSnapshotTaken, Info, "peer-snapshot-taken",
                   "The store is away; a peer told what it knows."},
    CatalogueEntry{PeerSilent, Warning, "peer-silent",
                   "A peer's reports stopped; its load no longer counts."},
    CatalogueEntry{PeerHeard, Info, "peer-heard",
                   "A peer's reports came again, or for the first time."},
    CatalogueEntry{RunnerRegistered, Info, "runner-registered",
                   "A runner registered, or changed its entry."},
    CatalogueEntry{RunnerDraining, Info, "runner-draining",
                   "A runner leaves soon; it gets no new requests."},
    CatalogueEntry{RunnerGone, Info, "runner-gone",
                   "A runner's entry ended; it gets no requests."},
    CatalogueEntry{EntryRefused, Warning, "entry-refused",
                   "An entry of the store can't be read; it is passed over."},
    CatalogueEntry{RunnerEjected, Warning, "runner-ejected",
                   "A runner failed requests; it gets none for a while."},
    CatalogueEntry{RunnerReadmitted, Info, "runner-readmitted",
                   "A runner that was ejected served a request again."},
    CatalogueEntry{RequestReceived, Info, "request-received",
                   "A caller's request arrived."},
    CatalogueEntry{RequestRouted, Info, "request-routed",
                   "A version and a runner were chosen."},
    CatalogueEntry{RequestRetried, Warning, "request-retried",
                   "The request goes to another runner after a failure."},
    CatalogueEntry{RequestEnded, Info, "request-ended",
                   "The caller got its whole answer."},
    CatalogueEntry{RequestRefused, Warning, "request-refused",
                   "The caller got an error."},
    CatalogueEntry{RequestEscalated, Info, "request-escalated",
                   "A cascade went on to its better version."},
    CatalogueEntry{RequestAbandoned, Info, "request-abandoned",
                   "The caller went away before its answer was whole."},
    CatalogueEntry{RequestKept, Info, "request-kept",
                   "A doubted answer was kept; a larger model had no room."},
    CatalogueEntry{RequestWaits, Info, "request-waits",
                   "A silent runner is waited for; no other has room."},
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
                   "The key-value service stopped answering."},
    CatalogueEntry{StoreAvailable, Info, "store-available",
                   "The key-value service answers again."},
    CatalogueEntry{BillWritten, Info, "bill-written",
                   "Bill lines are in the journal."},
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
