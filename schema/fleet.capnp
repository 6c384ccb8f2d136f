@0xc3a5d80b7f1e4d21;
# Messages between the nodes of a platform deployment.

using Cxx = import "/capnp/c++.capnp";
using Suspects = import "suspect.capnp";
$Cxx.namespace("berylcrank::schema");

struct NodeInfo {
  name @0 :Text;
  ip @1 :Text;
  gossipPort @2 :UInt16;
  frontAddress @3 :Text;
  failureDomain @4 :Text;
  incarnation @5 :UInt64;
  capacity @6 :UInt32;
  # CPU capacity in thousandths of a core.
  registered @7 :Bool;
  # The store's list of nodes contains this node.
}

struct RosterEntry {
  node @0 :UInt64;
  incarnation @1 :UInt64;
  beat @2 :UInt32;
  ready @3 :Bool;
  blind @4 :Bool;
}

struct LoadNews {
  upstream @0 :UInt32;
  # Hash of the upstream's id.
  running @1 :UInt8;
  waiting @2 :UInt8;
  slots @3 :UInt8;
  good @4 :UInt8;
  # Successful requests since the sender's last message.
  bad @5 :UInt8;
  # Failed requests since the sender's last message.
  hasReport @6 :Bool;
  unreachable @7 :Bool;
  slowness @8 :UInt16;
  # Slowness of the upstream in hundredths; 100 is normal.
  ageMs @9 :UInt16;
  # Age of the load report at the sender, in milliseconds.
  coldLeftMs @10 :UInt16;
  hasCold @11 :Bool;
  connectionAgeMs @12 :UInt32;
  # Age of the connection that carried the load report, in milliseconds.
}

struct InFlight {
  upstream @0 :UInt32;
  count @1 :UInt16;
}

struct Waiting {
  service @0 :UInt32;
  # Hash of the service's name.
  onTime @1 :UInt16;
  late @2 :UInt16;
  perSecond @3 :UInt16;
  # Arrival rate of requests for the service at the sender, per second.
}

struct StateMark {
  complete @0 :Bool;
  end @1 :UInt64;
  # Offset up to which the sender's record table is complete.
  ageMs @2 :UInt32;
  # Time since `end` was confirmed to be the end of the store, in milliseconds.
  changed @3 :UInt64;
  # Offset after the last record that changed the sender's view.
  reader @4 :UInt64;
  # Node whose read of the store confirmed `end`.
  read @5 :UInt64;
  # Sequence number of that read; increases with each read of that node.
  epoch @6 :UInt64;
  # Epoch of the store in which the offsets are valid; increases when it is restored from a backup.
  restoredEnd @7 :UInt64;
  # Records from this offset on were written after the last restore; others may be part of the backup.
}

struct NodeMessage {
  node @0 :UInt64;
  incarnation @1 :UInt64;
  ready @2 :Bool;
  marks @3 :List(StateMark);
  loads @4 :List(LoadNews);
  inFlight @5 :List(InFlight);
  self @6 :NodeInfo;
  # Set periodically, and in response to an unknown node.
  known @7 :List(NodeInfo);
  asksSelf @8 :Bool;
  # The sender does not have the receiver's NodeInfo and requests it.
  beat @9 :UInt32;
  # Heartbeat counter; increases while the sender runs.
  roster @10 :List(RosterEntry);
  blind @11 :Bool;
  # The sender cannot read the store.
  waiting @12 :List(Waiting);
  # Requests in the sender's queue.
  leaving @13 :List(UInt32);
  # Upstreams that announced their stop to the sender.
  suspects @14 :List(Suspects.Suspect);
  # Requests that may crash upstreams.
  usage @15 :UsageMessage;
  # If set, the message contains only this, the sender and optionally `self`.
}

struct UsageMessage {
  # About usage caps of accounts, from one node to another.
  union {
    pledge @0 :UsagePledge;
    acknowledgement @1 :UsageAcknowledgement;
    request @2 :UsageRequest;
    response @3 :UsageResponse;
  }
}

struct UsagePledge {
  holderRun @0 :UInt64;
  stamp @1 :Int64;
  # From the receiver's last acknowledgement.
  nodes @2 :UInt32;
  groups @3 :List(UInt16);
  # Groups of accounts for each portion of the sender's part, one bit each.
}

struct UsageAcknowledgement {
  stamp @0 :Int64;
  # The sender's clock in microseconds.
  nodes @1 :UInt32;
  stopping @2 :Bool;
  ownerRun @3 :UInt64;
  # Incarnation of the node that has sent the pledge.
}

struct UsageRequest {
  id @0 :UInt64;
  account @1 :UInt64;
  # Hash of the account's name.
  rate @2 :Float64;
  # Requests per second.
  burst @3 :Float64;
  version @4 :UInt64;
  # Of the configuration that contains the limits.
}

struct UsageResponse {
  id @0 :UInt64;
  granted @1 :Bool;
  hasPledges @2 :Bool;
  waitMs @3 :UInt32;
}

struct NodeList {
  nodes @0 :List(NodeInfo);
  # The nodes that the sender knows, itself included.
}

struct Record {
  key @0 :Text;
  offset @1 :UInt64;
  value @2 :Data;
  removed @3 :Bool;
  epoch @4 :UInt64;
  # Epoch of the store that assigned the offset.
}

struct StateRun {
  mark @0 :StateMark;
  records @1 :List(Record);
}

struct StateAnswer {
  runs @0 :List(StateRun);
}
