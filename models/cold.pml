/* Cold admission, permits: requests in flight under permits never exceed the bound (here 1).
   One upstream, two dispatchers, two holders of its admission group. Holder 0 is in force; a log record replaces it
   by holder 1, perhaps wrongly. Any action may be delayed for any time, so pauses, late messages and two membership
   views are covered: a dispatcher asks either holder. Only clock ticks end requests and permits. A restart of the
   upstream only ends requests and is left to cold_trust.pml, which covers connections and warm news. */
// mutants: NO_WAIT NO_CHECK NO_RUN_LIMIT LOCAL_VIEW RELEASE_ANY RELEASE_EARLY CONFIRM_AT_END TRUST_REFUSAL ISSUE_UNCONFIRMED EXPIRE_FROM_GRANT

#define PERMIT 2  /* from the ask to the end of the request */
#define RUN 1     /* run limit that the upstream keeps */
#define CONFIRM 1 /* longest time between the proof of the log's end and a grant */
#define SPREAD 1  /* in which a record's offset reaches most nodes during an outage */
#define END 5     /* last tick */
#ifdef RELEASE_ANY
#define IDS(h) (3 - h) /* permits of a holder; the fault shows with the third one */
#else
#define IDS(h) (2 - h)
#endif

#ifdef NO_WAIT
#define WAIT 0
#else
#define WAIT (PERMIT + CONFIRM + SPREAD) /* of a new holder */
#endif

byte t;          /* the clock */
byte log;        /* 0 up, 1 down, 2 up again */
#define log_down (log == 1)
bool appended;   /* the record that replaces holder 0 by 1 */
bool has_read;   /* holder 1 has read it */
byte read_at;

/* holders */
bool holds[2];
byte conf;       /* tick of the last proof of holder 0 */
byte out[2];     /* outstanding permit, 0 for none */
byte ends[2];    /* its end at the holder */
byte seq[2];
bool reads;      /* a read of the log by holder 0 is under way */
byte read_from;
bool read_saw;
bool read_down;

/* dispatchers */
byte ask[2];     /* 0 none, 1 asked, 2 the holder has read its clock, 3 answered, 4 has a permit */
byte ask_to[2];
byte ask_at[2];
byte ask_now[2]; /* clock of the holder */
byte id[2];
byte ends_at[2]; /* of the permit at the dispatcher */
byte fly[2];     /* 0 none, 1 in flight, 2 ended at the upstream only */
byte fly_end[2];
byte rel_id[2];  /* last release; it stays and may be delivered again */
byte rel_to[2];

byte d, h;

#ifdef ISSUE_UNCONFIRMED
#define CONFIRMED(x) true
#else
#define CONFIRMED(x) (h == 1 || ask_now[x] <= conf + CONFIRM)
#endif
#ifdef NO_CHECK
#define IN_TIME(x) true
#else
#define IN_TIME(x) (t + RUN <= ends_at[x])
#endif

#ifdef TRUST_REFUSAL
#define UNREPLACED true
#else
#define UNREPLACED (!has_read || read_from < read_at + SPREAD)
#endif

inline release(x) {
    rel_id[x] = id[x];
    rel_to[x] = ask_to[x];
    id[x] = 0
}

inline pick(v) {
    if
    :: v = 0
    :: v = 1
    fi
}

/* Drops what can no longer matter, so that equal situations are one state. */
inline forget(x) {
#ifndef EXPIRE_FROM_GRANT
    if
    :: (ask[x] == 1 || ask[x] == 2) && ask_at[x] + PERMIT < t + RUN ->
        ask[x] = 0; /* a permit for it would be too late */
        ask_at[x] = 0;
        ask_now[x] = 0;
        ask_to[x] = 0
    :: else
    fi;
#endif
    skip
}

inline forget_permit(y) {
    if
    :: out[y] != 0 && ends[y] <= t && !(ask[0] == 2 && ask_to[0] == y) && !(ask[1] == 2 && ask_to[1] == y) ->
        out[y] = 0;
        ends[y] = 0
    :: else
    fi
}

inline forget_release(x) {
#ifndef RELEASE_ANY
    if
    :: rel_id[x] != 0 && out[rel_to[x]] != rel_id[x] -> rel_id[x] = 0; rel_to[x] = 0
    :: else
    fi;
#endif
    skip
}

inline clock_tick() {
    t++;
#ifndef NO_RUN_LIMIT
    if
    :: fly[0] == 1 && fly_end[0] <= t -> fly[0] = 2; fly_end[0] = 0
    :: else
    fi;
    if
    :: fly[1] == 1 && fly_end[1] <= t -> fly[1] = 2; fly_end[1] = 0
    :: else
    fi;
#endif
    forget(0);
    forget(1);
    forget_permit(0);
    forget_permit(1);
    forget_release(0);
    forget_release(1)
}

inline start_read() {
    reads = true;
    read_from = t;
    read_saw = appended;
    read_down = log_down
}

inline end_read() {
    if
    :: read_down ->
        /* outage_proof: enough peers answer and none of them knows a later record */
        if
        :: UNREPLACED -> conf = read_from
        :: else
        fi
    :: !read_down && read_saw -> holds[0] = false
    :: else ->
#ifdef CONFIRM_AT_END
        conf = t
#else
        conf = read_from
#endif
    fi;
    reads = false;
    read_from = 0;
    read_saw = false;
    read_down = false
}

inline read_assignment() {
    has_read = true;
    read_at = t;
    holds[1] = true
}

/* Holder 0 decides with a clock that it may have read long before; holder 1 at once. */
inline answer(x) {
    h = ask_to[x];
    if
    :: holds[h] && (h == 0 || ask_now[x] >= read_at + WAIT) && seq[h] < IDS(h) && (out[h] == 0 || ask_now[x] >= ends[h]) && CONFIRMED(x) ->
        seq[h]++;
        out[h] = seq[h];
        ends[h] = ask_now[x] + PERMIT;
        id[x] = seq[h];
        ask[x] = 3
    :: else -> ask[x] = 0
    fi;
    if
    :: ask[x] == 0 -> ask_at[x] = 0; ask_to[x] = 0
    :: else
    fi;
    ask_now[x] = 0;
    h = 0
}

inline take_permit(x) {
    ask[x] = 4;
#ifdef EXPIRE_FROM_GRANT
    ends_at[x] = t + PERMIT;
#else
    ends_at[x] = ask_at[x] + PERMIT;
#endif
    ask_at[x] = 0
}

inline drop_ask(x) {
    ask[x] = 0;
    ask_at[x] = 0;
    ends_at[x] = 0
}

/* may_send and the first byte are one step. */
inline send(x) {
    if
    :: IN_TIME(x) ->
        fly[x] = 1;
        fly_end[x] = t + RUN;
        assert(fly[0] != 1 || fly[1] != 1);
#ifdef RELEASE_EARLY
        release(x);
#endif
    :: else -> release(x)
    fi;
    drop_ask(x)
}

inline finish(x) {
    if
    :: id[x] != 0 && ask[x] == 0 -> release(x); ask_to[x] = 0
    :: else
    fi;
    fly[x] = 0;
    fly_end[x] = 0
}

inline deliver_release(x) {
    h = rel_to[x];
#ifdef RELEASE_ANY
    out[h] = 0;
#else
    if
    :: out[h] == rel_id[x] -> out[h] = 0; ends[h] = 0
    :: else
    fi;
#endif
    h = 0
}

init {
    holds[0] = true;
    do
    :: d_step { t < END -> clock_tick() }
    :: atomic { log < 2 -> log++ }
    :: atomic { !log_down && !appended -> appended = true }
    :: atomic { !log_down && appended && !has_read -> read_assignment() }
#ifdef LOCAL_VIEW
    :: atomic { !holds[1] -> holds[1] = true }
#endif
    :: atomic { !reads && holds[0] -> start_read() }
    :: atomic { reads -> end_read() }
    :: atomic { pick(d);
        if
        :: ask[d] == 0 && fly[d] == 0 && id[d] == 0 -> pick(h); ask_to[d] = h; ask_at[d] = t; ask[d] = 1; h = 0
        :: ask[d] == 1 && ask_to[d] == 0 -> ask_now[d] = t; ask[d] = 2
        :: ask[d] == 1 && ask_to[d] == 1 -> ask_now[d] = t; answer(d)
        :: ask[d] == 2 -> answer(d)
        :: ask[d] == 3 -> take_permit(d)
        :: ask[d] == 3 -> drop_ask(d); ask_to[d] = 0; id[d] = 0 /* lost */
        :: ask[d] == 4 -> send(d)
        :: fly[d] != 0 -> finish(d) /* answered, or its end noticed late */
        :: rel_id[d] != 0 -> deliver_release(d)
        :: else
        fi;
        forget_release(0);
        forget_release(1);
        d = 0; h = 0 }
    od
}
