@0xb5d1a0c1f2e34020;
# Change ticket with the complete new state of each object that it changes.

using Cxx = import "/capnp/c++.capnp";
using import "annotations.capnp".unit;
using import "annotations.capnp".least;
using import "annotations.capnp".most;
using import "annotations.capnp".required;
using import "annotations.capnp".doc;
using import "annotations.capnp".format;
$Cxx.namespace("berylcrank::schema");

enum RequestClass {
  order @0;
  lookup @1;
  download @2;
}

struct Service {
  name @0 :Text $required $format("name") $doc("Name of the service, the first path segment after /s/.");
  requestClass @1 :RequestClass $required $doc("Class of its requests; determines their priority in the queue.");
  weight @2 :UInt16 = 1 $least(1) $most(1000) $doc("Weight of the service within its class under overload.");
  deadlineMs @3 :UInt32 = 2000 $unit("ms") $least(1) $most(600000) $doc("Maximum timeout of a request.");
  retryBudgetPercent @4 :Float32 = 10 $unit("percent") $least(0) $most(100) $doc("Maximum number of retries per hundred first attempts.");
  hedgeBudgetPercent @5 :Float32 = 0 $unit("percent") $least(0) $most(100) $doc("Maximum number of hedges per hundred first attempts; lookups only.");
  probeBudgetPercent @6 :Float32 = 0 $unit("percent") $least(0) $most(10) $doc("Maximum share of an upstream's time for the probes of all nodes.");
  coldConcurrency @7 :UInt16 = 1 $least(1) $most(1000) $unit("requests") $doc("Maximum number of requests in flight at a cold upstream.");
  warmRequests @8 :UInt32 = 20 $least(1) $most(100000) $unit("requests") $doc("Number of successful responses after which an upstream is warm.");
  queueLimit @9 :UInt32 = 64 $least(0) $most(100000) $unit("requests") $doc("Maximum number of queued requests on one node.");
  latencyObjectiveMs @10 :UInt32 = 250 $unit("ms") $least(1) $doc("Responses that take longer count against the latency objective.");
  latencyObjectivePercent @11 :Float32 = 99 $unit("percent") $least(1) $most(100) $doc("Share of responses within the latency objective.");
  availabilityObjectivePercent @12 :Float32 = 99.9 $unit("percent") $least(1) $most(100) $doc("Share of requests with a complete response without error.");
}

struct FailureDomain {
  name @0 :Text $required $format("name") $doc("Name of the failure domain.");
  region @1 :Text $required $format("name") $doc("Region of the failure domain.");
  inUse @2 :Bool = true $doc("False takes the failure domain out of use.");
}

struct Upstream {
  name @0 :Text $required $format("name") $doc("Name of the upstream.");
  service @1 :Text $required $format("name") $doc("Service that the upstream belongs to.");
  failureDomain @2 :Text $required $format("name") $doc("Failure domain of the upstream.");
  address @3 :Text $required $format("ip-port") $doc("Address of the upstream.");
  slots @4 :UInt16 = 4 $least(1) $most(10000) $unit("requests") $doc("Number of requests that the upstream runs concurrently.");
  maxConnections @5 :UInt32 = 250 $least(1) $most(100000) $doc("Number of connections that the upstream accepts.");
  draining @6 :Bool = false $doc("True: no new requests.");
}

enum ObjectKind {
  service @0;
  failureDomain @1;
  upstream @2;
}

struct Removal {
  kind @0 :ObjectKind $required $doc("Kind of the removed object.");
  name @1 :Text $required $format("name") $doc("Name of the removed object.");
}

struct Ticket {
  number @0 :UInt64 $required $least(1) $doc("Ticket number, unique among all tickets.");
  author @1 :Text $most(200) $doc("Author of the ticket.");
  note @2 :Text $most(2000) $doc("Reason for the change.");
  services @3 :List(Service) $most(10000) $doc("Complete new state of services.");
  failureDomains @4 :List(FailureDomain) $most(1000) $doc("Complete new state of failure domains.");
  upstreams @5 :List(Upstream) $most(40000) $doc("Complete new state of upstreams.");
  removals @6 :List(Removal) $most(40000) $doc("Objects to remove.");
}
