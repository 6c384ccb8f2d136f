/* Cold admission, connections: requests in flight at a process that is not warm never exceed the bound (here 1).
   One upstream that restarts without a sign, two dispatchers with one connection each. A permit is a token of which one
   exists (cold.pml shows that permits are at most that many). News that a process is warm arrive late, in any order
   and repeatedly. A process is warm after WARM good answers. */
// mutants: TRUST_AFTER_RESTART WARM_ANY NO_PERMIT_WHEN_WARM COUNT_ANY TRUST_ON_ANSWER

#define RESTARTS 2
#define WARM 2

byte up;        /* number of the upstream's process */
byte good;      /* good answers that it has given */
byte counted[3]; /* good answers of each process counted by the holder */
byte declared;  /* bit per process that the holder declared warm */
byte token;     /* dispatcher, plus 1, that has the permit */

byte conn[2];   /* process that the connection leads to, plus 1 */
byte named[2];  /* process named by the last answer on it, plus 1 */
byte known[2];  /* bit per process known warm */
byte fly[2];    /* 0 none, 1 under a permit, 2 on a verified connection */
byte fly_at[2]; /* process, plus 1 */
byte late[2];   /* process, plus 1, of a good answer that the holder has not counted yet */

byte d, p;

#ifdef WARM_ANY
#define IS_WARM(x) (named[x] != 0 && known[x] != 0)
#else
#ifdef TRUST_ON_ANSWER
#define IS_WARM(x) (named[x] != 0)
#else
#define IS_WARM(x) (named[x] != 0 && (known[x] & (1 << (named[x] - 1))) != 0)
#endif
#endif
/* The upstream is believed warm because some connection once led to a warm process. */
#ifdef NO_PERMIT_WHEN_WARM
#define VERIFIED(x) (known[x] != 0)
#else
#define VERIFIED(x) IS_WARM(x)
#endif

/* Before the first byte: a dead connection was replaced by a new one, which is not verified. */
inline connect(x) {
    if
    :: conn[x] != up + 1 ->
        conn[x] = up + 1;
#ifndef TRUST_AFTER_RESTART
        named[x] = 0
#endif
    :: else
    fi
}

inline send(x) {
    connect(x);
    if
    :: VERIFIED(x) -> fly[x] = 2; fly_at[x] = up + 1
    :: !VERIFIED(x) && token == x + 1 -> fly[x] = 1; fly_at[x] = up + 1
    :: else
    fi;
    assert(good >= WARM || fly[0] == 0 || fly[1] == 0 || fly_at[0] != up + 1 || fly_at[1] != up + 1)
}

inline give_back(x) {
    if
    :: token == x + 1 -> token = 0
    :: else
    fi
}

inline end(x) {
    fly[x] = 0;
    fly_at[x] = 0;
    give_back(x)
}

/* The permit comes back with the answer; what the holder counts may arrive after a restart. */
inline good_answer(x) {
    good = (good < WARM -> good + 1 : good);
    named[x] = up + 1;
    late[x] = (fly[x] == 1 -> up + 1 : late[x]);
    end(x)
}

inline count_answer(x) {
#ifdef COUNT_ANY
    p = up;
#else
    p = late[x] - 1;
#endif
    counted[p] = (counted[p] < WARM -> counted[p] + 1 : counted[p]);
    declared = (counted[p] == WARM -> declared | (1 << p) : declared);
    late[x] = 0;
    p = 0
}

inline restart() {
    up++;
    good = 0
}

inline pick(v) {
    if
    :: v = 0
    :: v = 1
    fi
}

init {
    do
    :: atomic { up < RESTARTS -> restart() }
    :: atomic { pick(d);
        if
        :: token == 0 && fly[d] == 0 -> token = d + 1
        :: fly[d] == 0 -> give_back(d)
        :: fly[d] == 0 -> send(d)
        :: fly[d] != 0 && fly_at[d] == up + 1 -> good_answer(d)
        :: fly[d] != 0 -> end(d) /* failed, or the process has ended */
        :: late[d] != 0 -> count_answer(d)
        :: late[d] != 0 -> late[d] = 0 /* lost */
        :: (declared & 1) != 0 -> known[d] = known[d] | 1
        :: (declared & 2) != 0 -> known[d] = known[d] | 2
        :: (declared & 4) != 0 -> known[d] = known[d] | 4
        :: else
        fi;
        d = 0 }
    od
}
