@0xa1f60c7d52e93b84;
# Reports of requests that may crash upstreams, in messages between nodes.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("berylcrank::schema");

struct UpstreamLoss {
  upstream @0 :UInt32;
  # Hash of the upstream's id.
  run @1 :UInt64;
  # Start time of the upstream, in Unix milliseconds.
  sentAgeMs @2 :UInt32;
  # Time since the request was sent, in milliseconds.
  lostAgeMs @3 :UInt32;
  # Time since its connection was lost.
  closed @4 :Bool;
  # The upstream closed the connection.
}

struct Suspect {
  fingerprint @0 :UInt64;
  # Hash of the request's method, host, target and body, or of these and its caller.
  losses @1 :List(UpstreamLoss);
  cleared @2 :Bool;
  clearedAgeMs @3 :UInt32;
  # Time since the last successful response; valid if `cleared`.
  inTrial @4 :Bool;
  # The sender has sent it to learn whether it still crashes upstreams.
  trialAgeMs @5 :UInt32;
}
