@0xb5d1a0c1f2e34030;
# RPC interface between nodes.

using Cxx = import "/capnp/c++.capnp";
using Suspects = import "suspect.capnp";
$Cxx.namespace("berylcrank::schema");

struct PeerInfo {
  vm @0 :Text;
  incarnation @1 :UInt64;
  failureDomain @2 :Text;
  httpAddress @3 :Text;
  rpcAddress @4 :Text;
  leaving @5 :Bool;
  heardAgoMs @6 :Int64;
  # Time since the sender received the last heartbeat of this peer, in milliseconds; -1: never.
  starting @7 :Bool;
  # This run of the peer has not been ready to serve yet.
}

struct WarmNews {
  upstream @0 :Text;
  incarnation @1 :Text;
  warm @2 :Bool;
  sequence @3 :UInt64;
  # Increases with each report of the same holder on the same upstream.
  holder @4 :UInt64;
}

struct CrashNews {
  fingerprint @0 :UInt64;
  upstream @1 :Text;
  upstreamIncarnation @2 :Text;
  inFlight @3 :UInt32;
  # Requests of the reporter that were in flight at the upstream.
  reporter @4 :UInt64;
}

struct Gossip {
  sender @0 :PeerInfo;
  appliedOffset @1 :UInt64;
  stateDigest @2 :UInt64;
  freshAgoMs @3 :Int64;
  # Time since the sender last confirmed that it had read the end of the log, in milliseconds; -1: never.
  logReachable @4 :Bool;
  peers @5 :List(PeerInfo);
  warm @6 :List(WarmNews);
  crashes @7 :List(CrashNews);
  suspects @8 :List(Suspects.Suspect);
  # Requests that may crash upstreams.
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct OrderRequest {
  id @0 :Text;
  service @1 :Text;
  method @2 :Text;
  path @3 :Text;
  headers @4 :List(Header);
  body @5 :Data;
  timeoutMs @6 :Int64;
}

enum Verdict {
  notRun @0;
  mayHaveRun @1;
  ran @2;
}

struct OrderAnswer {
  verdict @0 :Verdict;
  status @1 :UInt16;
  headers @2 :List(Header);
  body @3 :Data;
  reason @4 :Text;
  idPrefix @5 :Text;
}

struct PermitAnswer {
  granted @0 :Bool;
  permit @1 :UInt64;
  lapseMs @2 :Int64;
  retryAfterMs @3 :Int64;
  # If not granted: time after which a retry is useful, in milliseconds.
  isHolder @4 :Bool;
}

enum PermitOutcome {
  unused @0;
  good @1;
  failed @2;
}

interface Peer {
  gossip @0 (message :Gossip) -> (reply :Gossip);
  pullState @1 (fromOffset :UInt64) -> (delta :Data);
  relayOrder @2 (request :OrderRequest) -> (answer :OrderAnswer);
  acquirePermit @3 (incarnation :UInt64, upstream :Text, requestClass :UInt16) -> (answer :PermitAnswer);
  releasePermit @4 (permit :UInt64, upstream :Text, outcome :PermitOutcome, upstreamIncarnation :Text, reportedCold :Bool) -> ();
  reportCrash @5 (crashes :List(CrashNews)) -> ();
}
