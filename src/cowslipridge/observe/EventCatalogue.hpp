#pragma once

#include <span>
#include <string_view>

namespace cowslipridge::observe {

/// Numbers of all events. A number is never reused for another event;
/// docs/log-catalogue.md documents the same events.
enum class EventNumber : int {
  ProcessStarted = 100,
  ProcessReady = 101,
  ProcessLeaving = 102,
  ProcessStopped = 103,
  SettingsRefused = 104,
  PauseDetected = 105,
  SettingsChecked = 106,
  LogSuppressed = 107,
  UnexpectedError = 108,
  BuffersFull = 109,

  ConfigurationInForce = 200,
  ConfigurationStale = 201,
  ConfigurationRefused = 202,
  ConfigurationConfirmed = 203,

  PeerConnected = 300,
  PeerRefused = 301,
  PeerLost = 302,
  PeerRegistered = 303,
  PeerRemoved = 304,
  PeerSnapshotTaken = 305,
  PeerTimedOut = 306,
  PeerReporting = 307,
  RunnerRegistered = 310,
  RunnerDraining = 311,
  RunnerRemoved = 312,
  EntryRefused = 313,
  RunnerEjected = 314,
  RunnerReadmitted = 315,
  RunnerLeaving = 316,
  RunnerBackoff = 317,
  SegmentQuarantined = 318,
  RunnerRateLimit = 319,
  ContentQuarantined = 320,
  RunnerSuspected = 321,
  RunnerCold = 322,
  EvacuationOrdered = 324,
  EvacuationEnded = 325,
  RelayStarted = 327,
  RelayEnded = 328,
  PeerDatagramsRefused = 329,
  RegistrationConfirmed = 330,
  RegistrationLost = 331,

  RequestReceived = 400,
  RequestRouted = 401,
  RequestRetried = 402,
  RequestEnded = 403,
  RequestRefused = 404,
  RequestEscalated = 405,
  RequestAbandoned = 406,
  RequestKept = 407,
  RequestWaits = 408,
  RefusalUnstated = 409,
  RequestIdRepeated = 410,
  AnswerBroken = 411,

  RunStarted = 500,
  RunEnded = 501,
  RunRefused = 502,
  RunReplayed = 503,

  ClaimCommitted = 600,
  JournalSealed = 601,
  JournalTakenOver = 602,
  StoreUnavailable = 603,
  StoreAvailable = 604,
  BillWritten = 605,
  StoreRestored = 606,

  VersionCutOff = 700,
  RolloutAdvanced = 701,
  RolloutEnded = 702,
};

enum class Severity { Info, Warning, Error };

/// Level, name and documentation of one event.
struct CatalogueEntry {
  EventNumber Number;
  Severity Level;
  std::string_view Name;    ///< stable, such as `request-routed`
  std::string_view Meaning; ///< one sentence, identical in the docs
};

/// Returns all entries in ascending order of their numbers.
std::span<const CatalogueEntry> eventCatalogue();
/// Returns the entry of `number`, or the first entry if it has none.
const CatalogueEntry &describe(EventNumber number);

} // namespace cowslipridge::observe
