@0xb5d1a0c1f2e34040;
# Records on the platform's log, and the configuration state in snapshots and in peer deltas.

using Cxx = import "/capnp/c++.capnp";
using Ticket = import "ticket.capnp";
$Cxx.namespace("berylcrank::schema");

struct Assignment {
  group @0 :UInt16;
  holder @1 :UInt64;
  # Incarnation that becomes the holder.
  replaces @2 :UInt64;
  # Holder that this assignment replaces; 0: none. The assignment is ignored if another run holds the group.
  isHandOver @3 :Bool;
  # True: the replaced holder wrote the assignment itself, after it had stopped issuing permits.
}

struct SnapshotPart {
  id @0 :UInt64;
  # Random id of the snapshot, the same in all its parts.
  index @1 :UInt16;
  count @2 :UInt16;
  applied @3 :UInt64;
  # End of the offsets that the snapshot includes.
  content @4 :Data;
  # Part of a packed ConfigState message.
}

struct LogRecord {
  union {
    ticket @0 :Ticket.Ticket;
    snapshotPart @1 :SnapshotPart;
    assignments @2 :List(Assignment);
  }
}

struct ObjectEntry {
  number @0 :UInt64;
  # Number of the ticket that set or removed the object.
  offset @1 :UInt64;
  # Log offset of that ticket.
  union {
    service @2 :Ticket.Service;
    failureDomain @3 :Ticket.FailureDomain;
    upstream @4 :Ticket.Upstream;
    removal @5 :Ticket.Removal;
  }
}

struct TicketOutcome {
  number @0 :UInt64;
  offset @1 :UInt64;
  digest @2 :UInt64;
  accepted @3 :Bool;
  reason @4 :Text;
}

struct GroupHolder {
  group @0 :UInt16;
  holder @1 :UInt64;
  offset @2 :UInt64;
  isHandOver @3 :Bool;
  isFirst @4 :Bool;
}

struct ConfigState {
  first @0 :UInt64;
  certain @1 :UInt64;
  end @2 :UInt64;
  # Log offsets that the state includes; see modules/berylcrank_config/state/coverage.h.
  floor @3 :UInt64;
  droppedEnd @4 :UInt64;
  # Removals at smaller offsets may have been dropped.
  entries @5 :List(ObjectEntry);
  outcomes @6 :List(TicketOutcome);
  holders @7 :List(GroupHolder);
}
