// Acceptance of tickets with snapshots and peer deltas (docs/design.md, section 4).
// mutants: GO_BACK UNCOVERED PARTIAL PART_OF_SNAPSHOT NUMBER_TWICE
// pan: -E
// cc: -DSAFETY
//
// Two operators publish concurrently. Ticket kinds 1 and 2 have the same number and different content; kinds 3 and 4
// conflict over an object. An operator without a response publishes again. Two nodes apply the log; one of them may
// restart with an empty state. The state of the other one is copied. After any delay (a paused node, a slow network),
// the copy is appended as a snapshot or merged by a node as a peer delta. The log may be trimmed at any time. Outages
// need no process of their own, because a node or operator may make no step for any time.
//
// A state consists of offsets: the offset of the record that set each object, and the offset of the record that decided
// ticket number 1. Offset 0 means none. `reference` is the state after each prefix of the log, computed when a record
// is appended.

#define LAST 5 /* Offsets are 1 to LAST. */
#define NODES 2
#define X 0
#define Y 1
#define SNAPSHOT 5

typedef state { byte object[2]; byte decided; byte applied };
typedef record { byte kind; bool complete; state content };

record log[6];
state reference[6];
state node[NODES];
state copy; /* Copy of a node's state in transit. */
bool has_copy;
byte last, first = 1;

/* Ticket kinds: 1 = number 1, X; 2 = number 1, Y; 3 = number 3, X; 4 = number 2, X and Y. */
#define NUMBER(kind) ((kind) == 1 || (kind) == 2 -> 1 : ((kind) == 3 -> 3 : 2))
#define TOUCHES(kind, which) ((kind) == 4 || ((which) == X && ((kind) == 1 || (kind) == 3)) || ((which) == Y && (kind) == 2))
#define NUMBER_AT(offset) ((offset) == 0 -> 0 : NUMBER(log[offset].kind))

#define COPY_STATE(to, from) to.object[X] = from.object[X]; to.object[Y] = from.object[Y]; \
    to.decided = from.decided; to.applied = from.applied

/* True if the ticket at `offset` may set the object `which` of a state. */
#define MAY_APPLY(it, offset, which) (!TOUCHES(log[offset].kind, which) || NUMBER(log[offset].kind) > NUMBER_AT(it.object[which]))

#ifdef NUMBER_TWICE
#define IS_DECIDED(it, offset) false
#else
#define IS_DECIDED(it, offset) (NUMBER(log[offset].kind) == 1 && it.decided != 0)
#endif

#define SET_OBJECT(it, offset, which) if :: TOUCHES(log[offset].kind, which) -> it.object[which] = offset :: else fi

/* Applies the ticket at `offset` to a state. */
inline apply_ticket(it, offset) {
    if
    :: IS_DECIDED(it, offset) -> skip
    :: else ->
        if
        :: MAY_APPLY(it, offset, X) && MAY_APPLY(it, offset, Y) -> SET_OBJECT(it, offset, X); SET_OBJECT(it, offset, Y)
#ifdef PARTIAL
        :: MAY_APPLY(it, offset, X) && !MAY_APPLY(it, offset, Y) -> SET_OBJECT(it, offset, X)
        :: !MAY_APPLY(it, offset, X) && MAY_APPLY(it, offset, Y) -> SET_OBJECT(it, offset, Y)
        :: !MAY_APPLY(it, offset, X) && !MAY_APPLY(it, offset, Y) -> skip
#else
        :: else -> skip
#endif
        fi;
        if
        :: NUMBER(log[offset].kind) == 1 -> it.decided = offset
        :: else
        fi
    fi
}

#define NEWER(a, b) (NUMBER_AT(a) > NUMBER_AT(b) || (NUMBER_AT(a) == NUMBER_AT(b) && a != 0 && a < b))

/* Merges `other` into `it`. For each object, the higher ticket number wins, then the lower offset. */
inline merge(it, other) {
#ifdef GO_BACK
    COPY_STATE(it, other);
#else
    if :: NEWER(other.object[X], it.object[X]) -> it.object[X] = other.object[X] :: else fi;
    if :: NEWER(other.object[Y], it.object[Y]) -> it.object[Y] = other.object[Y] :: else fi;
    if :: other.decided != 0 && (it.decided == 0 || other.decided < it.decided) -> it.decided = other.decided :: else fi;
    if :: other.applied > it.applied -> it.applied = other.applied :: else fi;
#endif
}

state before;
byte b_node, a_which, b_which;

/* Checks the properties after a step of node `i`; `before` is its state before the step. */
inline check(i) {
    /* The state of a node never regresses. */
    assert(node[i].applied >= before.applied);
    assert(NUMBER_AT(node[i].object[X]) >= NUMBER_AT(before.object[X]));
    assert(NUMBER_AT(node[i].object[Y]) >= NUMBER_AT(before.object[Y]));
    /* Nodes that applied the same offset have the same state: the reference state at that offset. */
    assert(node[i].object[X] == reference[node[i].applied].object[X]);
    assert(node[i].object[Y] == reference[node[i].applied].object[Y]);
    /* A ticket that sets two objects is in force for both, unless a newer ticket replaced one of them. */
    assert(!(node[i].object[X] != 0 && TOUCHES(log[node[i].object[X]].kind, Y)) || NUMBER_AT(node[i].object[Y]) >= NUMBER_AT(node[i].object[X]));
    assert(!(node[i].object[Y] != 0 && TOUCHES(log[node[i].object[Y]].kind, X)) || NUMBER_AT(node[i].object[X]) >= NUMBER_AT(node[i].object[Y]));
    /* A ticket number is never in force with two contents, on any nodes or objects. */
    a_which = X;
    do
    :: a_which > Y -> break
    :: else ->
        b_node = 0;
        do
        :: b_node >= NODES -> break
        :: else ->
            b_which = X;
            do
            :: b_which > Y -> break
            :: else ->
                assert(node[i].object[a_which] == 0 || node[b_node].object[b_which] == 0 ||
                       NUMBER_AT(node[i].object[a_which]) != NUMBER_AT(node[b_node].object[b_which]) ||
                       log[node[i].object[a_which]].kind == log[node[b_node].object[b_which]].kind);
                b_which++
            od;
            b_node++
        od;
        a_which++
    od;
    a_which = 0; b_node = 0; b_which = 0;
    before.object[X] = 0; before.object[Y] = 0; before.decided = 0; before.applied = 0
}

/* Appends a ticket and computes the reference state. */
inline append_ticket(what) {
    last++;
    log[last].kind = what;
    COPY_STATE(reference[last], reference[last - 1]);
    apply_reference(last);
    reference[last].applied = last
}

/* Applies a ticket to the reference state: the acceptance rule without mutations. */
inline apply_reference(offset) {
    if
    :: NUMBER(log[offset].kind) == 1 && reference[offset].decided != 0
    :: else ->
        if
        :: MAY_APPLY(reference[offset], offset, X) && MAY_APPLY(reference[offset], offset, Y) -> SET_OBJECT(reference[offset], offset, X); SET_OBJECT(reference[offset], offset, Y)
        :: else
        fi;
        if
        :: NUMBER(log[offset].kind) == 1 -> reference[offset].decided = offset
        :: else
        fi
    fi
}

/* Publishes two tickets in order. If `lost`, one response may be lost; that ticket is then published again. */
proctype operator(byte one; byte two; bool lost) {
    atomic { last < LAST -> append_ticket(one) };
    if
    :: atomic { lost && last < LAST -> append_ticket(one); lost = false }
    :: skip
    fi;
    atomic { last < LAST -> append_ticket(two) };
    if
    :: atomic { lost && last < LAST -> append_ticket(two) }
    :: skip
    fi
}

proctype follower(byte i) {
    byte at;
    byte restarts = 0;
    do
    /* Reads the next record. */
    :: atomic { node[i].applied < last && node[i].applied + 1 >= first ->
            COPY_STATE(before, node[i]);
            at = node[i].applied + 1;
            if
            :: log[at].kind == SNAPSHOT ->
                if
                :: log[at].complete -> merge(node[i], log[at].content)
#ifdef PART_OF_SNAPSHOT
                :: !log[at].complete -> node[i].object[X] = log[at].content.object[X]
#else
                :: else
#endif
                fi
            :: else -> apply_ticket(node[i], at)
            fi;
            if :: at > node[i].applied -> node[i].applied = at :: else fi;
            at = 0;
            check(i) }
    /* The next record is trimmed: looks for a complete snapshot that includes the missing records. */
    :: atomic { node[i].applied + 1 < first ->
            COPY_STATE(before, node[i]);
            at = first;
            do
            :: at > last -> break
#ifdef UNCOVERED
            :: at <= last && log[at].kind == SNAPSHOT && log[at].complete ->
                merge(node[i], log[at].content);
                if :: node[i].applied + 1 < first -> node[i].applied = first - 1 :: else fi;
                break
#endif
            :: at <= last && log[at].kind == SNAPSHOT && log[at].complete && log[at].content.applied + 1 >= first ->
                merge(node[i], log[at].content);
                break
            :: at <= last && !(log[at].kind == SNAPSHOT && log[at].complete && log[at].content.applied + 1 >= first) -> at++
            od;
            at = 0;
            check(i) }
    /* Copies its own state, for a snapshot or a peer. */
    :: atomic { i == 0 && !has_copy && node[i].applied > 0 -> COPY_STATE(copy, node[i]); has_copy = true }
    /* Merges a copy that a peer sent. */
    :: atomic { has_copy ->
            COPY_STATE(before, node[i]);
            merge(node[i], copy);
            has_copy = false;
            copy.object[X] = 0; copy.object[Y] = 0; copy.decided = 0; copy.applied = 0;
            check(i) }
    /* Appends a copy as a snapshot. The writer may stop before the last part. */
    :: atomic { has_copy && last < LAST ->
            last++;
            log[last].kind = SNAPSHOT;
            COPY_STATE(log[last].content, copy);
            COPY_STATE(reference[last], reference[last - 1]);
            reference[last].applied = last;
            if
            :: log[last].complete = true
            :: skip
            fi;
            has_copy = false;
            copy.object[X] = 0; copy.object[Y] = 0; copy.decided = 0; copy.applied = 0 }
    /* Restarts with an empty state. */
    :: atomic { i == 1 && restarts < 1 && node[i].applied > 0 ->
            restarts++;
            node[i].object[X] = 0; node[i].object[Y] = 0; node[i].decided = 0; node[i].applied = 0 }
    od
}

/* Retention: trims the two oldest records in one step, so that a node falls behind in one step. */
proctype trimmer() {
    do
    :: atomic { first + 1 <= last -> first = first + 2 }
    od
}

init {
    atomic {
        run operator(1, 3, true);
        run operator(2, 4, false);
        run follower(0);
        run follower(1);
        run trimmer()
    }
}
