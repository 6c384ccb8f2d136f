/* At-most-once execution with a truthful "not run" (docs/at-most-once.md).
 *
 * Two ids are homed at the first run of one node, whose table has room for one. A copy of an id may arrive at
 * the home at any time up to SENDS times: sent, resent, relayed by another node, duplicated or delayed is the
 * same there, and a lost copy is one that does not arrive. A thread that pauses after it read the clock is a
 * step with any older time; other pauses are interleavings. A deadline may pass whenever an order is pending.
 *
 * Properties (assertions): an id executes at most once; after an answer "not run" it has not executed and
 * never does; an answer "ran" implies that it executed.
 */
// mutants: NON_HOME_NOT_RUN HORIZON_LOST NO_DISPATCH_CHECK EXPIRED_NOT_RUN RETRY_AFTER_RESET RESTART_OWNS WAITER_NOT_RUN EARLY_DROP OLD_TIME REFUSE_DISPATCHED RESET_IS_RAN EXPIRY_AFTER_LOOKUP

#define IDS 2
#define LIFETIME 2   /* An id minted at m expires at m + LIFETIME; id n is minted at time n. */
#define LAST_TIME 4
#define SENDS 4      /* Copies of each id. */
#define ATTEMPTS 2
#define ROOM 1

mtype = { unknown, pending, dispatched, finished, refused };
mtype = { may_have_run, ran, not_run };

mtype state[IDS] = unknown;
mtype verdict[IDS] = may_have_run;
byte entries;
byte now;          /* The clock. */
byte seen;         /* Latest time that the table has seen. */
byte horizon;      /* Unknown ids minted before this are refused. */
byte epoch;        /* Run of the home node; the ids belong to run 0. */
bool admitted[IDS];   /* An order waits for its runner. */
byte copies[IDS];     /* Copies that have arrived. */
byte at_upstream[IDS];
byte answers[IDS];    /* Whole answers on their way to the home. */
byte sheds[IDS];      /* Shed answers on their way to the home. */
byte executed[IDS];
bool told_not_run[IDS];

inline tell(i, v) {
    if
    :: v == not_run -> assert(executed[i] == 0); told_not_run[i] = true
    :: v == ran -> assert(executed[i] == 1)
    :: else -> skip
    fi
}

inline see(t) {
#ifdef OLD_TIME
    seen = t
#else
    if
    :: t > seen -> seen = t
    :: else -> skip
    fi
#endif
}

#define expired(i) (i + LIFETIME <= seen)

#ifdef EXPIRY_AFTER_LOOKUP
#define EXPIRY_SEEN(i) (expired(i) && state[i] != unknown)
#else
#define EXPIRY_SEEN(i) (expired(i))
#endif

#ifdef RESTART_OWNS
#define IS_HOME true
#else
#define IS_HOME (epoch == 0)
#endif

inline end(i, s, v) {
    state[i] = s;
    verdict[i] = v;
    tell(i, v)
}

inline insert(i) {
    if
    :: i < horizon -> tell(i, not_run)
    :: i >= horizon && entries == ROOM ->
#ifndef HORIZON_LOST
        horizon = seen + 1;
        if
        :: horizon <= i -> horizon = i + 1
        :: else -> skip
        fi;
#endif
        tell(i, not_run)
    :: i >= horizon && entries < ROOM ->
        state[i] = pending;
        entries++;
        admitted[i] = true
    fi
}

inline admit(i, t) {
    see(t);
    if
    :: EXPIRY_SEEN(i) ->
#ifdef EXPIRED_NOT_RUN
        tell(i, not_run)
#else
        skip /* May have run. */
#endif
    :: else ->
        if
        :: state[i] == unknown -> insert(i)
        :: state[i] == finished || state[i] == refused -> tell(i, verdict[i])
        :: else -> skip /* Waits for the answer that its first copy gets. */
        fi
    fi
}

/* A time that a thread read at or after the mint of id `i` and before it paused. */
inline read_clock(i, t) {
    if
    :: t = now
    :: now > i -> t = i
    :: now > i + 1 -> t = i + 1
    fi
}

/* The node at the home's address takes copies of id `i`. The next run of the node is not the home of the id: it
   answers "may have run", as any non-home does, which tells nothing. */
proctype server(byte i) {
    byte t;
end_wait:
    do
    :: atomic { copies[i] < SENDS && now >= i && IS_HOME ->
        copies[i]++;
        read_clock(i, t);
        admit(i, t);
        t = 0
    }
#ifdef NON_HOME_NOT_RUN
    :: atomic { copies[i] < SENDS && now >= i -> copies[i]++; tell(i, not_run) }
#endif
    od
}

/* Routing and attempts of one order at the home; ends silently with its run of the node. */
proctype runner(byte i) {
    byte attempts; byte mine; byte t; bool allowed;
end_idle:
    atomic { admitted[i] -> admitted[i] = false; mine = epoch; attempts = 0 };
next:
    if
    :: epoch != mine -> goto end_idle
    :: epoch == mine && attempts < ATTEMPTS -> attempts++
    :: atomic { epoch == mine -> /* Refused by the router, or no attempt left. */
        if
        :: state[i] == pending -> end(i, refused, not_run)
        :: else -> skip
        fi };
        goto end_idle
    fi;
    atomic { /* Connected; immediately before the first byte. */
        if
        :: epoch != mine -> allowed = false
        :: else ->
            read_clock(i, t);
            see(t);
#ifdef NO_DISPATCH_CHECK
            allowed = true
#else
            allowed = (state[i] == pending && !expired(i))
#endif
            ;
            if
            :: allowed -> state[i] = dispatched
            :: else -> skip
            fi
        fi;
        t = 0
    };
    if
    :: !allowed -> goto next
    :: atomic { allowed && epoch == mine -> at_upstream[i]++ }
    :: allowed && epoch != mine -> goto end_idle
    fi;
    if
    :: epoch != mine -> goto end_idle
    :: atomic { epoch == mine && answers[i] > 0 -> answers[i]--; end(i, finished, ran) }; goto end_idle
    :: atomic { epoch == mine && sheds[i] > 0 -> sheds[i]--; state[i] = pending }; goto next
    :: atomic { epoch == mine -> /* Reset, timeout or truncated answer. */
#ifdef RETRY_AFTER_RESET
        state[i] = pending
#else
#ifdef RESET_IS_RAN
        end(i, finished, ran)
#else
        end(i, finished, may_have_run)
#endif
#endif
        };
#ifdef RETRY_AFTER_RESET
        goto next
#else
        goto end_idle
#endif
    fi
}

/* Executes or sheds what arrives, at any later time or never; its answers may never arrive. */
proctype upstream(byte i) {
end_wait:
    do
    :: atomic { at_upstream[i] > 0 ->
        at_upstream[i]--;
        executed[i]++;
        assert(executed[i] == 1);
        assert(!told_not_run[i]);
        answers[i]++
    }
    :: atomic { at_upstream[i] > 0 -> at_upstream[i]--; sheds[i]++ }
    od
}

/* Clock, deadlines, expiry and the end of the home's run. */
proctype world() {
    byte i;
end_wait:
    do
    :: atomic { now < LAST_TIME -> now++ }
    :: atomic { epoch == 0 && state[0] == pending -> end(0, refused, not_run) }
    :: atomic { epoch == 0 && state[1] == pending -> end(1, refused, not_run) }
#ifdef WAITER_NOT_RUN
    :: atomic { state[0] == dispatched -> tell(0, not_run) }
#endif
#ifdef REFUSE_DISPATCHED
    :: atomic { state[0] == dispatched -> end(0, refused, not_run) }
#endif
    :: atomic {
        if
        :: state[0] == finished || state[0] == refused -> i = 0
        :: state[1] == finished || state[1] == refused -> i = 1
        fi;
        see(now);
        if
#ifdef EARLY_DROP
        :: true -> state[i] = unknown; entries--
#else
        :: expired(i) -> state[i] = unknown; entries--
        :: else -> skip
#endif
        fi;
        i = 0
    }
    :: atomic { epoch == 0 -> /* Crash; the next run has another incarnation and an empty table. */
        epoch = 1;
        entries = 0; seen = 0; horizon = 0; i = 0;
        do
        :: i < IDS -> state[i] = unknown; verdict[i] = may_have_run; admitted[i] = false; answers[i] = 0;
            sheds[i] = 0; i++
        :: else -> break
        od;
        i = 0
    }
    od
}

init {
    atomic {
        run server(0); run server(1); run runner(0); run runner(1);
        run upstream(0); run upstream(1); run world()
    }
}
