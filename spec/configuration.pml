/* Configuration: two operators race on one object by compare-and-swap. An answer may be lost after the
 * write took effect, a request may be delayed, gossip reorders and duplicates, a node restarts with empty
 * state, and the store may go down permanently after the changes.
 *
 * Checked: an accepted change has taken effect and a rejected one never does; two accepted changes never
 * have the same revision; no node's revision decreases, also not across a restart through the barrier;
 * an accepted change is eventually in force on every node (ltl in_force, with weak fairness).
 * Seeded defects: BUG_CAS, BUG_NO_FENCE, BUG_NO_HISTORY, BUG_MERGE, BUG_NO_BARRIER, BUG_NO_PUSH,
 * BUG_NO_SYNC.
 */
#define OPERATORS 2
#define NODES 3
#define PENDING 0
#define ACCEPTED 1
#define REJECTED 2

byte store_revision = 0;       /* 0: the object does not exist yet */
byte store_change = 255;       /* operator that wrote the current revision; 200 + n: fence of operator n */
bool applied[OPERATORS];       /* the history: changes that ever took effect */
byte applied_as[OPERATORS];    /* the revision of each applied change */
byte outcome[OPERATORS];
bool in_flight[OPERATORS];     /* a lost request that may still be delivered */
byte late_base[OPERATORS];

byte revision[NODES];          /* the revision in force on each node */
bool serving[NODES] = true;
byte pushed = 0;               /* highest accepted revision; a second node has it */
byte restarts = 1;
bool store_up = true;
bool beat;

#ifdef BUG_CAS
#define SWAPS(base) (true)
#else
#define SWAPS(base) (store_revision == (base))
#endif

inline apply_change(who, base) {
  if
  :: SWAPS(base) ->
     assert(outcome[who] != REJECTED);
     store_revision = base + 1;
     store_change = who;
     applied[who] = true;
     applied_as[who] = store_revision
  :: else
  fi
}

inline merge(node, value) {
#ifdef BUG_MERGE
  assert(value >= revision[node]);
  revision[node] = value
#else
  if
  :: value > revision[node] -> revision[node] = value
  :: else
  fi
#endif
}

inline accept(who) {
  assert(applied[who]);
  outcome[who] = ACCEPTED;
  merge(who, applied_as[who]);
#ifndef BUG_NO_PUSH
  merge(2, applied_as[who]);   /* a peer in another zone has it before the operator gets the answer */
#endif
  if
  :: applied_as[who] > pushed -> pushed = applied_as[who]
  :: else
  fi
}

inline reject(who) {
  assert(!applied[who]);
  outcome[who] = REJECTED
}

proctype Operator(byte who) {
  byte base;
  bool lost;
  base = revision[who];        /* the revision on the operator's node, possibly stale */
  if
  :: atomic {                  /* the write and its answer both arrive */
       if
       :: SWAPS(base) -> apply_change(who, base); accept(who)
       :: else -> reject(who)
       fi
     };
     lost = false
  :: atomic { true -> apply_change(who, base); lost = true }      /* the answer is lost */
  :: atomic { in_flight[who] = true; late_base[who] = base; lost = true }  /* the request is delayed */
  fi;
  if
  :: !lost
  :: else ->
     if
     :: atomic { store_change == who -> accept(who) }
     :: atomic { store_change != who && store_revision == base ->
#ifndef BUG_NO_FENCE
          store_revision = base + 1;
          store_change = 200 + who;
#endif
          reject(who) }
     :: atomic { store_change != who && store_revision != base ->
#ifdef BUG_NO_HISTORY
          reject(who)
#else
          if
          :: applied[who] -> accept(who)
          :: else -> reject(who)
          fi
#endif
        }
     fi
  fi
}

proctype Wire(byte who) {      /* delivers a delayed request at any time, or never */
  end: atomic { in_flight[who] -> in_flight[who] = false; apply_change(who, late_base[who]) }
}

proctype Gossip() {            /* delivers any current or older state to any node, any number of times */
  byte from, to, value;
  end: do
  :: atomic {
       select(from : 0 .. NODES - 1);
       select(to : 0 .. NODES - 1);
       select(value : 0 .. 3);
       if
       :: from != to && serving[from] && value <= revision[from] -> merge(to, value)
       :: else
       fi
     }
  od
}

proctype Sync(byte node) {     /* digest comparison: pulls newer state from a peer or the store */
#ifndef BUG_NO_SYNC
  end: do
  :: atomic { store_up && revision[node] < store_revision -> revision[node] = store_revision }
  :: atomic { revision[(node + 1) % NODES] > revision[node] -> revision[node] = revision[(node + 1) % NODES] }
  :: atomic { revision[(node + 2) % NODES] > revision[node] -> revision[node] = revision[(node + 2) % NODES] }
  od
#else
  end: do
  :: atomic { beat = !beat }   /* runs for ever without any effect */
  od
#endif
}

proctype Faults() {
  if
  :: skip
  :: atomic { outcome[0] != PENDING && outcome[1] != PENDING -> store_up = false }
  fi;
  byte node;
  select(node : 0 .. NODES - 1);
  byte needed;                 /* accepted revision in force before the restart; must be in force after it */
  atomic { restarts > 0 ->
    restarts--;
    needed = (revision[node] < pushed -> revision[node] : pushed);
    serving[node] = false;
    revision[node] = 0 };
#ifndef BUG_NO_BARRIER
  atomic {                     /* the barrier: reads peers of several zones, and the store if it is up */
    merge(node, revision[(node + 1) % NODES]);
    merge(node, revision[(node + 2) % NODES]);
    if
    :: store_up -> merge(node, store_revision)
    :: else
    fi
  };
#endif
  atomic { assert(revision[node] >= needed); serving[node] = true }
}

init {
  atomic {
    run Operator(0); run Operator(1);
#ifndef LIVENESS
    run Wire(0); run Wire(1);
    run Gossip();
#endif
    run Sync(0); run Sync(1); run Sync(2);
    run Faults()
  };
  (outcome[0] != PENDING && outcome[1] != PENDING);
  assert(!(outcome[0] == ACCEPTED && outcome[1] == ACCEPTED && applied_as[0] == applied_as[1]))
}

#ifdef LIVENESS
#define newest(node) (revision[node] >= pushed)
ltl in_force { <>[] (newest(0) && newest(1) && newest(2)) }
#endif
