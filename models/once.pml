/* At-most-once execution with a truthful "not run" (docs/at-most-once.md).
 *
 * The home of two ids is the first run of one node. Its table has a capacity of one entry. Up to MAX_COPIES copies
 * of an id may arrive at the home, each at any time. This covers requests that are sent, retried, relayed by another
 * node, duplicated or delayed; a lost copy does not arrive. A thread that pauses after reading the clock is modelled
 * as a step with an older time; other pauses are interleavings. The deadline of a pending order may pass at any time.
 *
 * Properties (assertions): an id executes at most once; an id that was reported as "not run" has not executed and
 * never executes; an id that was reported as "ran" has executed.
 */
// mutants: NON_HOME_NOT_RUN HORIZON_LOST NO_DISPATCH_CHECK EXPIRED_NOT_RUN RETRY_AFTER_RESET RESTART_OWNS WAITER_NOT_RUN EARLY_DROP OLD_TIME REFUSE_DISPATCHED RESET_IS_RAN EXPIRY_AFTER_LOOKUP

#define IDS 2
#define LIFETIME 2   /* An id minted at m expires at m + LIFETIME; id n is minted at time n. */
#define LAST_TIME 4
#define MAX_COPIES 4 /* Maximum number of copies of each id. */
#define MAX_ATTEMPTS 2
#define CAPACITY 1

mtype = { unknown, pending, dispatched, finished, refused };
mtype = { may_have_run, ran, not_run };

mtype state[IDS] = unknown;
mtype verdict[IDS] = may_have_run;
byte entries;
byte now;                 /* Clock. */
byte seen;                /* Latest time that was passed to the table. */
byte horizon;             /* Ids that are not in the table and were minted before this time are refused. */
byte epoch;               /* Run of the home node; run 0 minted the ids. */
bool admitted[IDS];       /* The order is admitted and not yet started by its runner. */
byte copies[IDS];         /* Copies that have arrived. */
byte at_upstream[IDS];
byte responses[IDS];      /* Complete responses in transit to the home. */
byte shed_responses[IDS]; /* Load-shedding responses in transit to the home. */
byte executed[IDS];
bool reported_not_run[IDS];

inline report(i, v) {
    if
    :: v == not_run -> assert(executed[i] == 0); reported_not_run[i] = true
    :: v == ran -> assert(executed[i] == 1)
    :: else -> skip
    fi
}

inline advance_seen(t) {
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

inline finish(i, s, v) {
    state[i] = s;
    verdict[i] = v;
    report(i, v)
}

inline insert(i) {
    if
    :: i < horizon -> report(i, not_run)
    :: i >= horizon && entries == CAPACITY ->
#ifndef HORIZON_LOST
        horizon = seen + 1;
        if
        :: horizon <= i -> horizon = i + 1
        :: else -> skip
        fi;
#endif
        report(i, not_run)
    :: i >= horizon && entries < CAPACITY ->
        state[i] = pending;
        entries++;
        admitted[i] = true
    fi
}

inline admit(i, t) {
    advance_seen(t);
    if
    :: EXPIRY_SEEN(i) ->
#ifdef EXPIRED_NOT_RUN
        report(i, not_run)
#else
        skip /* May have run. */
#endif
    :: else ->
        if
        :: state[i] == unknown -> insert(i)
        :: state[i] == finished || state[i] == refused -> report(i, verdict[i])
        :: else -> skip /* Waits for the response to its first copy. */
        fi
    fi
}

/* Sets `t` to a time between the mint of id `i` and now, as read by a thread that may have paused since. */
inline read_clock(i, t) {
    if
    :: t = now
    :: now > i -> t = i
    :: now > i + 1 -> t = i + 1
    fi
}

/* The node at the home's address receives copies of id `i`. The next run of the node is not the home of the id. Like
   any other node, it responds "may have run", which asserts nothing. */
proctype server(byte i) {
    byte t;
end_wait:
    do
    :: atomic { copies[i] < MAX_COPIES && now >= i && IS_HOME ->
        copies[i]++;
        read_clock(i, t);
        admit(i, t);
        t = 0
    }
#ifdef NON_HOME_NOT_RUN
    :: atomic { copies[i] < MAX_COPIES && now >= i -> copies[i]++; report(i, not_run) }
#endif
    od
}

/* Routes and sends one order at the home. Stops without a report when its run of the node ends. */
proctype runner(byte i) {
    byte attempts; byte own_epoch; byte t; bool allowed;
end_idle:
    atomic { admitted[i] -> admitted[i] = false; own_epoch = epoch; attempts = 0 };
next:
    if
    :: epoch != own_epoch -> goto end_idle
    :: epoch == own_epoch && attempts < MAX_ATTEMPTS -> attempts++
    :: atomic { epoch == own_epoch -> /* Refused by the router, or no attempts left. */
        if
        :: state[i] == pending -> finish(i, refused, not_run)
        :: else -> skip
        fi };
        goto end_idle
    fi;
    atomic { /* Connected; immediately before the first byte. */
        if
        :: epoch != own_epoch -> allowed = false
        :: else ->
            read_clock(i, t);
            advance_seen(t);
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
    :: atomic { allowed && epoch == own_epoch -> at_upstream[i]++ }
    :: allowed && epoch != own_epoch -> goto end_idle
    fi;
    if
    :: epoch != own_epoch -> goto end_idle
    :: atomic { epoch == own_epoch && responses[i] > 0 -> responses[i]--; finish(i, finished, ran) }; goto end_idle
    :: atomic { epoch == own_epoch && shed_responses[i] > 0 -> shed_responses[i]--; state[i] = pending }; goto next
    :: atomic { epoch == own_epoch -> /* Connection reset, timeout or truncated response. */
#ifdef RETRY_AFTER_RESET
        state[i] = pending
#else
#ifdef RESET_IS_RAN
        finish(i, finished, ran)
#else
        finish(i, finished, may_have_run)
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

/* Executes or sheds each request that arrives, at any later time or never. Its responses may be lost. */
proctype upstream(byte i) {
end_wait:
    do
    :: atomic { at_upstream[i] > 0 ->
        at_upstream[i]--;
        executed[i]++;
        assert(executed[i] == 1);
        assert(!reported_not_run[i]);
        responses[i]++
    }
    :: atomic { at_upstream[i] > 0 -> at_upstream[i]--; shed_responses[i]++ }
    od
}

/* Advances the clock, passes deadlines, drops expired entries and ends the home's run. */
proctype environment() {
    byte i;
end_wait:
    do
    :: atomic { now < LAST_TIME -> now++ }
    :: atomic { epoch == 0 && state[0] == pending -> finish(0, refused, not_run) }
    :: atomic { epoch == 0 && state[1] == pending -> finish(1, refused, not_run) }
#ifdef WAITER_NOT_RUN
    :: atomic { state[0] == dispatched -> report(0, not_run) }
#endif
#ifdef REFUSE_DISPATCHED
    :: atomic { state[0] == dispatched -> finish(0, refused, not_run) }
#endif
    :: atomic {
        if
        :: state[0] == finished || state[0] == refused -> i = 0
        :: state[1] == finished || state[1] == refused -> i = 1
        fi;
        advance_seen(now);
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
    :: atomic { epoch == 0 -> /* Crash: the next run has a new incarnation and an empty table. */
        epoch = 1;
        entries = 0; seen = 0; horizon = 0; i = 0;
        do
        :: i < IDS -> state[i] = unknown; verdict[i] = may_have_run; admitted[i] = false; responses[i] = 0;
            shed_responses[i] = 0; i++
        :: else -> break
        od;
        i = 0
    }
    od
}

init {
    atomic {
        run server(0); run server(1); run runner(0); run runner(1);
        run upstream(0); run upstream(1); run environment()
    }
}
