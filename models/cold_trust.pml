/* Cold admission, connections: the number of requests in flight at a process that is not warm never exceeds the limit
   (here 1). The model has one upstream that restarts without notice, and two dispatchers with one connection each. The
   permit is a single token; cold.pml shows that there is at most one permit. Reports that a process is warm may arrive
   late, in any order and repeatedly. A process is warm after WARM successful responses. */
// mutants: TRUST_AFTER_RESTART WARM_ANY NO_PERMIT_WHEN_WARM COUNT_ANY TRUST_ON_ANSWER

#define RESTARTS 2
#define WARM 2

byte process;       /* number of the upstream's current process */
byte successes;     /* successful responses of the current process */
byte counted[3];    /* successful responses of each process, as counted by the holder */
byte declared_warm; /* bit set of the processes that the holder declared warm */
byte token;         /* dispatcher that has the permit, plus 1; 0: none */

byte connection[2]; /* process at the other end of the connection, plus 1 */
byte responder[2];  /* process named in the last response on the connection, plus 1 */
byte known_warm[2]; /* bit set of the processes that the dispatcher knows as warm */
byte flight[2];     /* 0: none, 1: under a permit, 2: on a verified connection */
byte flight_at[2];  /* process that runs the request, plus 1 */
byte uncounted[2];  /* process of a successful response that the holder has not counted yet, plus 1 */

byte d, p;

#ifdef WARM_ANY
#define IS_WARM(x) (responder[x] != 0 && known_warm[x] != 0)
#else
#ifdef TRUST_ON_ANSWER
#define IS_WARM(x) (responder[x] != 0)
#else
#define IS_WARM(x) (responder[x] != 0 && (known_warm[x] & (1 << (responder[x] - 1))) != 0)
#endif
#endif
/* Fault: any earlier connection to a warm process makes the upstream count as warm. */
#ifdef NO_PERMIT_WHEN_WARM
#define VERIFIED(x) (known_warm[x] != 0)
#else
#define VERIFIED(x) IS_WARM(x)
#endif

/* Before the first byte: replaces a dead connection by a new one, which is not verified. */
inline connect(x) {
    if
    :: connection[x] != process + 1 ->
        connection[x] = process + 1;
#ifndef TRUST_AFTER_RESTART
        responder[x] = 0
#endif
    :: else
    fi
}

inline send(x) {
    connect(x);
    if
    :: VERIFIED(x) -> flight[x] = 2; flight_at[x] = process + 1
    :: !VERIFIED(x) && token == x + 1 -> flight[x] = 1; flight_at[x] = process + 1
    :: else
    fi;
    assert(successes >= WARM || flight[0] == 0 || flight[1] == 0 || flight_at[0] != process + 1 || flight_at[1] != process + 1)
}

inline return_token(x) {
    if
    :: token == x + 1 -> token = 0
    :: else
    fi
}

inline end_request(x) {
    flight[x] = 0;
    flight_at[x] = 0;
    return_token(x)
}

/* The response returns the permit. The holder may count the success after a restart. */
inline complete_request(x) {
    successes = (successes < WARM -> successes + 1 : successes);
    responder[x] = process + 1;
    uncounted[x] = (flight[x] == 1 -> process + 1 : uncounted[x]);
    end_request(x)
}

inline count_success(x) {
#ifdef COUNT_ANY
    p = process;
#else
    p = uncounted[x] - 1;
#endif
    counted[p] = (counted[p] < WARM -> counted[p] + 1 : counted[p]);
    declared_warm = (counted[p] == WARM -> declared_warm | (1 << p) : declared_warm);
    uncounted[x] = 0;
    p = 0
}

inline restart() {
    process++;
    successes = 0
}

inline pick(v) {
    if
    :: v = 0
    :: v = 1
    fi
}

init {
    do
    :: atomic { process < RESTARTS -> restart() }
    :: atomic { pick(d);
        if
        :: token == 0 && flight[d] == 0 -> token = d + 1
        :: flight[d] == 0 -> return_token(d)
        :: flight[d] == 0 -> send(d)
        :: flight[d] != 0 && flight_at[d] == process + 1 -> complete_request(d)
        :: flight[d] != 0 -> end_request(d) /* request failed, or the process ended */
        :: uncounted[d] != 0 -> count_success(d)
        :: uncounted[d] != 0 -> uncounted[d] = 0 /* report lost */
        :: (declared_warm & 1) != 0 -> known_warm[d] = known_warm[d] | 1
        :: (declared_warm & 2) != 0 -> known_warm[d] = known_warm[d] | 2
        :: (declared_warm & 4) != 0 -> known_warm[d] = known_warm[d] | 4
        :: else
        fi;
        d = 0 }
    od
}
