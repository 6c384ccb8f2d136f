@0xb5d1a0c1f2e34010;
# Settings of one node, written in YAML with snake_case keys.

using Cxx = import "/capnp/c++.capnp";
using import "annotations.capnp".unit;
using import "annotations.capnp".least;
using import "annotations.capnp".most;
using import "annotations.capnp".required;
using import "annotations.capnp".doc;
using import "annotations.capnp".format;
$Cxx.namespace("berylcrank::schema");

struct Settings {
  vm @0 :Text $required $format("name") $doc("Name of the vm of this node, as in the VM list.");
  region @1 :Text $required $format("name") $doc("Region of the vm.");
  failureDomain @2 :Text $required $format("name") $doc("Failure domain of the vm.");
  httpAddress @3 :Text $required $format("listen") $doc("Address that callers connect to; port 0 lets the kernel choose.");
  rpcAddress @4 :Text $required $format("listen") $doc("Address that other nodes connect to; port 0 lets the kernel choose.");
  platform @5 :Platform $required;
  addresses @6 :Addresses;
  orders @7 :Orders;
  requests @8 :Requests;
  gossip @9 :Gossip;
  threads @10 :Threads;
  cold @11 :Cold;

  struct Platform {
    logAddress @0 :Text $required $format("ip-port") $doc("Address of the log service.");
    vmListAddress @1 :Text $required $format("ip-port") $doc("Address of the VM list.");
    logRetentionMs @2 :UInt32 = 3600000 $unit("ms") $least(1000) $doc("Retention time of records in the log.");
    isolationLimitMs @3 :UInt32 = 2500 $unit("ms") $least(200) $most(10000) $doc("Time without fresh configuration after which the node accepts no new requests.");
    gapWaitMs @4 :UInt32 = 15000 $unit("ms") $least(100) $doc("Maximum time to look for a copy of records that were trimmed from the log unread.");
    pollMs @5 :UInt32 = 500 $unit("ms") $least(10) $most(2000) $doc("Long-poll time of a log read; also the interval of VM list reads.");
  }

  struct Addresses {
    keepMs @0 :UInt32 = 5000 $unit("ms") $least(100) $most(600000) $doc("Time for which a caller may use an address response.");
    count @1 :UInt16 = 4 $least(1) $most(64) $doc("Number of addresses in one response.");
  }

  struct Orders {
    idLifetimeMs @0 :UInt32 = 120000 $unit("ms") $least(1000) $most(3600000) $doc("Lifetime of an order id after minting.");
    tableEntries @1 :UInt32 = 200000 $least(1) $doc("Maximum number of ids in the order table of one node.");
    tableBytes @2 :UInt64 = 67108864 $unit("bytes") $least(1024) $doc("Maximum size of all recorded responses on one node.");
    answerBytes @3 :UInt32 = 65536 $unit("bytes") $least(0) $doc("Maximum size of a response that is recorded for retries.");
    bodyBytes @4 :UInt32 = 1048576 $unit("bytes") $least(1) $most(16777216) $doc("Maximum size of a request body.");
  }

  struct Requests {
    defaultTimeoutMs @0 :UInt32 = 2000 $unit("ms") $least(1) $doc("Timeout of a request that does not set one.");
    bufferBytes @1 :UInt32 = 262144 $unit("bytes") $least(16384) $most(4194304) $doc("Maximum size of the buffer between upstream and caller, per request.");
    totalBufferBytes @2 :UInt64 = 67108864 $unit("bytes") $least(1048576) $doc("Maximum size of the buffers of all requests.");
    stallMs @3 :UInt32 = 10000 $unit("ms") $least(10) $doc("Maximum time without progress in a download.");
    headerBytes @4 :UInt32 = 16384 $unit("bytes") $least(1024) $most(65536) $doc("Maximum size of the request headers.");
    maxConnections @5 :UInt32 = 2000 $least(1) $doc("Maximum number of caller connections per node.");
  }

  struct Gossip {
    intervalMs @0 :UInt32 = 500 $unit("ms") $least(20) $most(5000) $doc("Time between two gossip rounds.");
    fanOut @1 :UInt16 = 3 $least(1) $most(16) $doc("Number of peers that are contacted in one gossip round.");
    silentMs @2 :UInt32 = 1500 $unit("ms") $least(100) $doc("Time without a heartbeat after which a peer counts as silent.");
    maxNodes @3 :UInt16 = 17 $least(1) $most(4096) $doc("Maximum plausible number of nodes; shared budgets are divided by it.");
  }

  struct Threads {
    server @0 :UInt16 = 2 $least(1) $most(64) $doc("Number of threads that serve callers and connect to upstreams.");
  }

  struct Cold {
    permitMs @0 :UInt32 = 2000 $unit("ms") $least(50) $doc("Time after which a permit expires.");
  }
}
