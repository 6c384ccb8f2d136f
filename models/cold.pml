/* Cold admission, permits: the number of requests in flight under permits never exceeds the limit (here 1).
   The model has one upstream, two dispatchers and two holders of the upstream's admission group. Holder 0 is in
   force. A log record replaces it by holder 1, possibly although holder 0 still runs. Each action may be delayed for
   any time, and a dispatcher may send its request to either holder. This covers pauses, late messages and different
   membership views. Requests and permits end only at clock ticks. A restart of the upstream only ends requests; it is
   modelled in cold_trust.pml, which covers connections and warm reports. */
// mutants: NO_WAIT NO_CHECK NO_RUN_LIMIT LOCAL_VIEW RELEASE_ANY RELEASE_EARLY CONFIRM_AT_END TRUST_REFUSAL ISSUE_UNCONFIRMED EXPIRE_FROM_GRANT

#define PERMIT_LIFETIME 2 /* lifetime of a permit, counted from the permit request */
#define RUN_LIMIT 1       /* maximum run time of a request, enforced by the upstream */
#define MAX_PROOF_AGE 1   /* maximum age of the proof of the log's end at a grant */
#define GOSSIP_DELAY 1    /* time in which the offset of a record reaches most nodes during an outage */
#define LAST_TIME 5       /* last clock tick */
#ifdef RELEASE_ANY
#define MAX_PERMITS(h) (3 - h) /* permits that a holder may issue; the fault needs a third permit */
#else
#define MAX_PERMITS(h) (2 - h)
#endif

#ifdef NO_WAIT
#define HOLDER_WAIT 0
#else
#define HOLDER_WAIT (PERMIT_LIFETIME + MAX_PROOF_AGE + GOSSIP_DELAY) /* wait of a new holder before its first grant */
#endif

byte now;       /* clock */
byte log_phase; /* 0: up, 1: down, 2: up again */
#define log_down (log_phase == 1)
bool appended; /* the record that replaces holder 0 by holder 1 is in the log */
bool has_read; /* holder 1 has read that record, at read_at */
byte read_at;

/* holders */
bool holds[2];
byte confirmed_at;   /* time of the last proof of the log's end at holder 0 */
byte outstanding[2]; /* id of the outstanding permit, 0: none */
byte permit_end[2];  /* its expiry at the holder */
byte issued[2];
bool reading;        /* holder 0 is reading the log */
byte read_started_at;
bool read_found_record;
bool read_found_outage;

/* dispatchers */
byte request[2];           /* 0: none, 1: sent, 2: the holder has read its clock, 3: response sent, 4: permit received */
byte request_to[2];
byte request_at[2];
byte holder_clock[2];      /* reading of the holder's clock */
byte permit[2];
byte permit_expires_at[2]; /* expiry of the permit at the dispatcher */
byte flight[2];            /* 0: none, 1: in flight, 2: ended at the upstream, not yet noticed by the dispatcher */
byte flight_end[2];
byte release_id[2];        /* last release message; it may be delivered repeatedly */
byte release_to[2];

byte d, h;

#ifdef ISSUE_UNCONFIRMED
#define CONFIRMED(x) true
#else
#define CONFIRMED(x) (h == 1 || holder_clock[x] <= confirmed_at + MAX_PROOF_AGE)
#endif
#ifdef NO_CHECK
#define IN_TIME(x) true
#else
#define IN_TIME(x) (now + RUN_LIMIT <= permit_expires_at[x])
#endif

#ifdef TRUST_REFUSAL
#define NOT_REPLACED true
#else
#define NOT_REPLACED (!has_read || read_started_at < read_at + GOSSIP_DELAY)
#endif

inline release(x) {
    release_id[x] = permit[x];
    release_to[x] = request_to[x];
    permit[x] = 0
}

inline pick(v) {
    if
    :: v = 0
    :: v = 1
    fi
}

/* Drops data that has no further effect, so that equivalent states are equal. */
inline drop_expired_request(x) {
#ifndef EXPIRE_FROM_GRANT
    if
    :: (request[x] == 1 || request[x] == 2) && request_at[x] + PERMIT_LIFETIME < now + RUN_LIMIT ->
        request[x] = 0; /* a permit for it would expire too early */
        request_at[x] = 0;
        holder_clock[x] = 0;
        request_to[x] = 0
    :: else
    fi;
#endif
    skip
}

inline drop_expired_permit(y) {
    if
    :: outstanding[y] != 0 && permit_end[y] <= now && !(request[0] == 2 && request_to[0] == y) && !(request[1] == 2 && request_to[1] == y) ->
        outstanding[y] = 0;
        permit_end[y] = 0
    :: else
    fi
}

inline drop_stale_release(x) {
#ifndef RELEASE_ANY
    if
    :: release_id[x] != 0 && outstanding[release_to[x]] != release_id[x] -> release_id[x] = 0; release_to[x] = 0
    :: else
    fi;
#endif
    skip
}

inline clock_tick() {
    now++;
#ifndef NO_RUN_LIMIT
    if
    :: flight[0] == 1 && flight_end[0] <= now -> flight[0] = 2; flight_end[0] = 0
    :: else
    fi;
    if
    :: flight[1] == 1 && flight_end[1] <= now -> flight[1] = 2; flight_end[1] = 0
    :: else
    fi;
#endif
    drop_expired_request(0);
    drop_expired_request(1);
    drop_expired_permit(0);
    drop_expired_permit(1);
    drop_stale_release(0);
    drop_stale_release(1)
}

inline start_read() {
    reading = true;
    read_started_at = now;
    read_found_record = appended;
    read_found_outage = log_down
}

inline end_read() {
    if
    :: read_found_outage ->
        /* Outage confirmation: enough peers respond and none of them has a later record. */
        if
        :: NOT_REPLACED -> confirmed_at = read_started_at
        :: else
        fi
    :: !read_found_outage && read_found_record -> holds[0] = false
    :: else ->
#ifdef CONFIRM_AT_END
        confirmed_at = now
#else
        confirmed_at = read_started_at
#endif
    fi;
    reading = false;
    read_started_at = 0;
    read_found_record = false;
    read_found_outage = false
}

inline read_assignment() {
    has_read = true;
    read_at = now;
    holds[1] = true
}

/* Holder 0 decides with a clock reading of any age; holder 1 decides at once. */
inline respond(x) {
    h = request_to[x];
    if
    :: holds[h] && (h == 0 || holder_clock[x] >= read_at + HOLDER_WAIT) && issued[h] < MAX_PERMITS(h) && (outstanding[h] == 0 || holder_clock[x] >= permit_end[h]) && CONFIRMED(x) ->
        issued[h]++;
        outstanding[h] = issued[h];
        permit_end[h] = holder_clock[x] + PERMIT_LIFETIME;
        permit[x] = issued[h];
        request[x] = 3
    :: else -> request[x] = 0
    fi;
    if
    :: request[x] == 0 -> request_at[x] = 0; request_to[x] = 0
    :: else
    fi;
    holder_clock[x] = 0;
    h = 0
}

inline receive_permit(x) {
    request[x] = 4;
#ifdef EXPIRE_FROM_GRANT
    permit_expires_at[x] = now + PERMIT_LIFETIME;
#else
    permit_expires_at[x] = request_at[x] + PERMIT_LIFETIME;
#endif
    request_at[x] = 0
}

inline clear_request(x) {
    request[x] = 0;
    request_at[x] = 0;
    permit_expires_at[x] = 0
}

/* The expiry check (may_send) and the first byte are one step. */
inline send(x) {
    if
    :: IN_TIME(x) ->
        flight[x] = 1;
        flight_end[x] = now + RUN_LIMIT;
        assert(flight[0] != 1 || flight[1] != 1);
#ifdef RELEASE_EARLY
        release(x);
#endif
    :: else -> release(x)
    fi;
    clear_request(x)
}

inline finish(x) {
    if
    :: permit[x] != 0 && request[x] == 0 -> release(x); request_to[x] = 0
    :: else
    fi;
    flight[x] = 0;
    flight_end[x] = 0
}

inline deliver_release(x) {
    h = release_to[x];
#ifdef RELEASE_ANY
    outstanding[h] = 0;
#else
    if
    :: outstanding[h] == release_id[x] -> outstanding[h] = 0; permit_end[h] = 0
    :: else
    fi;
#endif
    h = 0
}

init {
    holds[0] = true;
    do
    :: d_step { now < LAST_TIME -> clock_tick() }
    :: atomic { log_phase < 2 -> log_phase++ }
    :: atomic { !log_down && !appended -> appended = true }
    :: atomic { !log_down && appended && !has_read -> read_assignment() }
#ifdef LOCAL_VIEW
    :: atomic { !holds[1] -> holds[1] = true }
#endif
    :: atomic { !reading && holds[0] -> start_read() }
    :: atomic { reading -> end_read() }
    :: atomic { pick(d);
        if
        :: request[d] == 0 && flight[d] == 0 && permit[d] == 0 -> pick(h); request_to[d] = h; request_at[d] = now; request[d] = 1; h = 0
        :: request[d] == 1 && request_to[d] == 0 -> holder_clock[d] = now; request[d] = 2
        :: request[d] == 1 && request_to[d] == 1 -> holder_clock[d] = now; respond(d)
        :: request[d] == 2 -> respond(d)
        :: request[d] == 3 -> receive_permit(d)
        :: request[d] == 3 -> clear_request(d); request_to[d] = 0; permit[d] = 0 /* response lost */
        :: request[d] == 4 -> send(d)
        :: flight[d] != 0 -> finish(d) /* response received, or the end of the request noticed late */
        :: release_id[d] != 0 -> deliver_release(d)
        :: else
        fi;
        drop_stale_release(0);
        drop_stale_release(1);
        d = 0; h = 0 }
    od
}
