@0xd3f1a6c2b49e7051;

# Messages between the processes of the project. Every message carries the
# sender's configuration generation; whoever is behind pulls the newer bundle.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cowslipridge::rpc::wire");

struct Header {
  name @0 :Text;
  value @1 :Text;
}

# Counters of one version's grades; merge takes the larger of each source.
struct Evidence {
  source @0 :Text;          # sidecar instance that counted
  incarnation @1 :UInt64;
  service @2 :Text;
  version @3 :Text;
  organisation @4 :Text;
  requests @5 :UInt64;
  grades @6 :UInt64;
  scoreSumMicro @7 :UInt64; # sum of scores, in millionths
  badGrades @8 :UInt64;
}

# A cut-off never reverts within a generation.
struct CutOff {
  service @0 :Text;
  version @1 :Text;
  organisation @2 :Text;    # empty: for all organisations
  generation @3 :UInt64;
  reason @4 :Text;
}

# Rides on every message in both directions.
struct Status {
  instance @0 :Text;
  incarnation @1 :UInt64;
  generation @2 :UInt64;
  leaving @3 :Bool;
  inFlight @4 :UInt32;
  queued @5 :UInt32;
  concurrencyLimit @6 :UInt32;
  predictedWaitMs @7 :UInt32;
  evidence @8 :List(Evidence);
  cutOffs @9 :List(CutOff);
  generationAgeMs @11 :UInt32; # since the generation was known to be newest
  trialShareMicro @12 :UInt32; # of the callee's service, in millionths
  grades @10 :List(Grade);  # of answers that the receiver asked for
}

struct Grade {
  request @0 :Text;
  scoreMicro @1 :UInt32;    # 0 to 1, in millionths
}

struct RunRequest {
  status @0 :Status;
  request @1 :Text;
  organisation @2 :Text;
  service @3 :Text;
  version @4 :Text;
  session @5 :Text;
  idempotencyKey @6 :Text;
  idempotent @7 :Bool;
  method @8 :Text;
  target @9 :Text;
  headers @10 :List(Header);
  body @11 :Data;
  stream @12 :Bool;
  remainingMs @13 :UInt32;  # time left until the deadline
  attempt @14 :UInt32;
  part @15 :Text;           # "single", "draft", "check", "better", "hedge"
  billable @16 :Bool;
  prefixHashes @17 :List(UInt64);
  sessionIsPinned @18 :Bool;
}

enum Outcome {
  ran @0;
  notRun @1;
  unknown @2;
}

struct RunResult {
  status @0 :Status;
  outcome @1 :Outcome;
  error @2 :UInt32;          # core::Errc, 0 for none
  detail @3 :Text;
  retryAfterMs @4 :UInt32;
  ownerInstance @5 :Text;    # with the error not-owner
  promptTokens @6 :UInt64;
  cachedTokens @7 :UInt64;
  answerTokens @8 :UInt64;
  frames @9 :UInt64;         # frames sent; fewer received means a gap
  version @10 :Text;
  replayed @11 :Bool;        # the answer of an earlier attempt
}

# Receives one answer; implemented by the entry.
interface FrameSink {
  head @0 (status :UInt16, headers :List(Header));
  frame @1 (sequence :UInt64, data :Data) -> stream;
}

interface RunHandle {
  # Resolves when the answer has ended.
  result @0 () -> (result :RunResult);
}

interface Peer {
  run @0 (request :RunRequest, sink :FrameSink) -> (handle :RunHandle);
  # Exchanges status; used when no request has gone for a while.
  exchange @1 (status :Status) -> (status :Status);
  # The configuration bundle in force at the callee, as JSON.
  bundle @2 () -> (generation :UInt64, content :Data);
  # Bill lines that the caller holds for a journal owned by the callee; each
  # is one JSON object, keyed by request, so that repetition is harmless.
  deliverBills @3 (lines :List(Data)) -> (accepted :UInt32);
  # Hands a newer bundle to a callee that is behind; returns the generation
  # in force there afterwards.
  offerBundle @4 (sender :Text, generation :UInt64, content :Data)
      -> (generation :UInt64);
}

# Bootstrap capability: gives a Peer only to a caller that proves the fleet
# key, and proves it in turn.
interface Gate {
  challenge @0 (callerNonce :Data) -> (calleeNonce :Data, proof :Data);
  login @1 (instance :Text, proof :Data) -> (peer :Peer);
}
