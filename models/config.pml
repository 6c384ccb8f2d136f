// Acceptance of tickets with snapshots and peer deltas (docs/design.md, section 4).
// mutants: GO_BACK UNCOVERED PARTIAL PART_OF_SNAPSHOT NUMBER_TWICE
// pan: -E
// cc: -DSAFETY
//
// Two operators race: tickets 1 and 2 have the same number and other content, tickets 3 and 4 conflict over an
// object. An operator who gets no answer publishes again. Two nodes apply the log; one may restart empty. A copy
// of the other one's state is taken, waits for any time (a paused node, a slow network), and is then appended as a
// snapshot or joined by a node as a peer delta. The log is trimmed at any time. Outages need no process of their
// own: a node or operator may make no step for any time.
//
// A state is kept as offsets: for each object the record that it comes from, and the record that decided number 1.
// Offset 0 means none. `truth` is the state after each prefix of the log, computed when a record is appended.

#define LAST 5     /* Offsets are 1 to LAST. */
#define NODES 2
#define X 0
#define Y 1
#define SNAPSHOT 5

typedef state { byte object[2]; byte decided; byte applied };
typedef record { byte kind; bool complete; state content };

record log[6];
state truth[6];
state node[NODES];
state copy;          /* A copy of some node's state on its way. */
bool has_copy;
byte last, first = 1;

/* Ticket kinds: 1 = number 1, X; 2 = number 1, Y; 3 = number 3, X; 4 = number 2, X and Y. */
#define NUMBER(kind) ((kind) == 1 || (kind) == 2 -> 1 : ((kind) == 3 -> 3 : 2))
#define TOUCHES(kind, which) ((kind) == 4 || ((which) == X && ((kind) == 1 || (kind) == 3)) || ((which) == Y && (kind) == 2))
#define NUMBER_AT(offset) ((offset) == 0 -> 0 : NUMBER(log[offset].kind))

#define COPY_STATE(to, from) to.object[X] = from.object[X]; to.object[Y] = from.object[Y]; \
    to.decided = from.decided; to.applied = from.applied

/* True if a state may take the ticket at `offset` for the object `which`. */
#define ABOVE(it, offset, which) (!TOUCHES(log[offset].kind, which) || NUMBER(log[offset].kind) > NUMBER_AT(it.object[which]))

#ifdef NUMBER_TWICE
#define IS_DECIDED(it, offset) false
#else
#define IS_DECIDED(it, offset) (NUMBER(log[offset].kind) == 1 && it.decided != 0)
#endif

#define SET(it, offset, which) if :: TOUCHES(log[offset].kind, which) -> it.object[which] = offset :: else fi

/* Applies the ticket at `offset`. */
inline apply_ticket(it, offset) {
    if
    :: IS_DECIDED(it, offset) -> skip
    :: else ->
        if
        :: ABOVE(it, offset, X) && ABOVE(it, offset, Y) -> SET(it, offset, X); SET(it, offset, Y)
#ifdef PARTIAL
        :: ABOVE(it, offset, X) && !ABOVE(it, offset, Y) -> SET(it, offset, X)
        :: !ABOVE(it, offset, X) && ABOVE(it, offset, Y) -> SET(it, offset, Y)
        :: !ABOVE(it, offset, X) && !ABOVE(it, offset, Y) -> skip
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

/* Joins `other` into `it`: per object the higher number, then the lower offset. */
inline join(it, other) {
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

/* What must hold after each step of node `i`; `before` is its state before the step. */
inline check(i) {
    /* No node goes back. */
    assert(node[i].applied >= before.applied);
    assert(NUMBER_AT(node[i].object[X]) >= NUMBER_AT(before.object[X]));
    assert(NUMBER_AT(node[i].object[Y]) >= NUMBER_AT(before.object[Y]));
    /* Nodes that applied the same offset agree: each agrees with the log up to there. */
    assert(node[i].object[X] == truth[node[i].applied].object[X]);
    assert(node[i].object[Y] == truth[node[i].applied].object[Y]);
    /* A ticket that touches two objects is in force for both, unless a newer one took one of them over. */
    assert(!(node[i].object[X] != 0 && TOUCHES(log[node[i].object[X]].kind, Y)) || NUMBER_AT(node[i].object[Y]) >= NUMBER_AT(node[i].object[X]));
    assert(!(node[i].object[Y] != 0 && TOUCHES(log[node[i].object[Y]].kind, X)) || NUMBER_AT(node[i].object[X]) >= NUMBER_AT(node[i].object[Y]));
    /* One number never has two contents in force, on any node or object. */
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

/* Appends a ticket and computes the state that the log then stands for. */
inline append_ticket(what) {
    last++;
    log[last].kind = what;
    COPY_STATE(truth[last], truth[last - 1]);
    apply_truth(last);
    truth[last].applied = last
}

/* The acceptance rule, without the mutations. */
inline apply_truth(offset) {
    if
    :: NUMBER(log[offset].kind) == 1 && truth[offset].decided != 0
    :: else ->
        if
        :: ABOVE(truth[offset], offset, X) && ABOVE(truth[offset], offset, Y) -> SET(truth[offset], offset, X); SET(truth[offset], offset, Y)
        :: else
        fi;
        if
        :: NUMBER(log[offset].kind) == 1 -> truth[offset].decided = offset
        :: else
        fi
    fi
}

/* Publishes two tickets in turn; if `lost`, one answer may be lost, and then that ticket is published again. */
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
    /* Read the next record. */
    :: atomic { node[i].applied < last && node[i].applied + 1 >= first ->
            COPY_STATE(before, node[i]);
            at = node[i].applied + 1;
            if
            :: log[at].kind == SNAPSHOT ->
                if
                :: log[at].complete -> join(node[i], log[at].content)
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
    /* The next record is trimmed: look for a complete snapshot that covers what is missing. */
    :: atomic { node[i].applied + 1 < first ->
            COPY_STATE(before, node[i]);
            at = first;
            do
            :: at > last -> break
#ifdef UNCOVERED
            :: at <= last && log[at].kind == SNAPSHOT && log[at].complete ->
                join(node[i], log[at].content);
                if :: node[i].applied + 1 < first -> node[i].applied = first - 1 :: else fi;
                break
#endif
            :: at <= last && log[at].kind == SNAPSHOT && log[at].complete && log[at].content.applied + 1 >= first ->
                join(node[i], log[at].content);
                break
            :: at <= last && !(log[at].kind == SNAPSHOT && log[at].complete && log[at].content.applied + 1 >= first) -> at++
            od;
            at = 0;
            check(i) }
    /* Copy the own state, for a snapshot or a peer. */
    :: atomic { i == 0 && !has_copy && node[i].applied > 0 -> COPY_STATE(copy, node[i]); has_copy = true }
    /* Join a copy that a peer sent. */
    :: atomic { has_copy ->
            COPY_STATE(before, node[i]);
            join(node[i], copy);
            has_copy = false;
            copy.object[X] = 0; copy.object[Y] = 0; copy.decided = 0; copy.applied = 0;
            check(i) }
    /* Append a copy as a snapshot; the writer may stop before its last part. */
    :: atomic { has_copy && last < LAST ->
            last++;
            log[last].kind = SNAPSHOT;
            COPY_STATE(log[last].content, copy);
            COPY_STATE(truth[last], truth[last - 1]);
            truth[last].applied = last;
            if
            :: log[last].complete = true
            :: skip
            fi;
            has_copy = false;
            copy.object[X] = 0; copy.object[Y] = 0; copy.decided = 0; copy.applied = 0 }
    /* Restart empty. */
    :: atomic { i == 1 && restarts < 1 && node[i].applied > 0 ->
            restarts++;
            node[i].object[X] = 0; node[i].object[Y] = 0; node[i].decided = 0; node[i].applied = 0 }
    od
}

/* Retention: drops the oldest two records at once, which lets a node fall behind in one step. */
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
