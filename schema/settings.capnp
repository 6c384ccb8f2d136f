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
  vm @0 :Text $required $format("name") $doc("Name of the vm this node runs on, as in the VM list.");
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
    logRetentionMs @2 :UInt32 = 3600000 $unit("ms") $least(1000) $doc("How long the log keeps a record.");
    isolationLimitMs @3 :UInt32 = 2500 $unit("ms") $least(200) $most(10000) $doc("Time without fresh configuration after which new work stops.");
    gapWaitMs @4 :UInt32 = 15000 $unit("ms") $least(100) $doc("How long to look for records that were trimmed unread.");
    pollMs @5 :UInt32 = 500 $unit("ms") $least(10) $most(2000) $doc("Long poll of the log; also the VM list interval.");
  }

  struct Addresses {
    keepMs @0 :UInt32 = 5000 $unit("ms") $least(100) $most(600000) $doc("How long a caller may keep an address answer.");
    count @1 :UInt16 = 4 $least(1) $most(64) $doc("Addresses in one answer.");
  }

  struct Orders {
    idLifetimeMs @0 :UInt32 = 120000 $unit("ms") $least(1000) $most(3600000) $doc("Time after minting in which an id may run.");
    tableEntries @1 :UInt32 = 200000 $least(1) $doc("Ids remembered by one node.");
    tableBytes @2 :UInt64 = 67108864 $unit("bytes") $least(1024) $doc("Bytes of recorded answers kept by one node.");
    answerBytes @3 :UInt32 = 65536 $unit("bytes") $least(0) $doc("Largest answer that is recorded for a resend.");
    bodyBytes @4 :UInt32 = 1048576 $unit("bytes") $least(1) $most(16777216) $doc("Largest request body.");
  }

  struct Requests {
    defaultTimeoutMs @0 :UInt32 = 2000 $unit("ms") $least(1) $doc("Deadline of a request that names none.");
    bufferBytes @1 :UInt32 = 262144 $unit("bytes") $least(16384) $most(4194304) $doc("Bytes buffered between upstream and caller per request.");
    totalBufferBytes @2 :UInt64 = 67108864 $unit("bytes") $least(1048576) $doc("Bytes buffered for all requests.");
    stallMs @3 :UInt32 = 10000 $unit("ms") $least(10) $doc("Longest time without progress in a download.");
    headerBytes @4 :UInt32 = 16384 $unit("bytes") $least(1024) $most(65536) $doc("Largest request header block.");
    maxConnections @5 :UInt32 = 2000 $least(1) $doc("Caller connections per node.");
  }

  struct Gossip {
    intervalMs @0 :UInt32 = 500 $unit("ms") $least(20) $most(5000) $doc("Time between two gossip rounds.");
    fanOut @1 :UInt16 = 3 $least(1) $most(16) $doc("Peers contacted in one round.");
    silentMs @2 :UInt32 = 1500 $unit("ms") $least(100) $doc("Time without news after which a peer counts as silent.");
    maxNodes @3 :UInt16 = 17 $least(1) $most(4096) $doc("Largest plausible number of nodes; divides shared budgets.");
  }

  struct Threads {
    server @0 :UInt16 = 2 $least(1) $most(64) $doc("Threads that serve callers and talk to upstreams.");
  }

  struct Cold {
    permitMs @0 :UInt32 = 2000 $unit("ms") $least(50) $doc("Time after which a permit lapses.");
  }
}
