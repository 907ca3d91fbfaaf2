/* Watchers: two nodes read the registry and report to a third, the follower, which reads the registry
 * itself when it has no usable report. Time advances in steps. In each step a watcher may be healthy, cut off
 * from the registry without noticing, or unresponsive (frozen or dead); any report may be lost, and fetching
 * the changes that a report omits may fail. A watcher that was unresponsive resumes with its old state.
 *
 * Checked: the follower's position never decreases, and it has each change within BOUND steps, as long as
 * it reaches the registry (a follower that doesn't is out of touch).
 * A watcher that is cut off may still be answered by reads that show an earlier state; they tell it nothing.
 * Seeded defects: BUG_AGE, BUG_PATIENCE, BUG_LEVEL, BUG_OLDER, BUG_STALE.
 */
#define WATCHERS 2
#define REVISIONS 3
#define AGE_LIMIT 2      /* steps after which a watcher's state is stale */
#define PATIENCE 2       /* steps without a usable report before the follower reads the registry */
#define BOUND 5          /* AGE_LIMIT + PATIENCE + one step to read the registry */
#define WELL 0
#define CUT 1
#define SILENT 2

byte registry = 0;
byte since[4];           /* steps since each revision was written */
byte known[WATCHERS];
byte age[WATCHERS];
byte follower = 0;
byte silence = 0;

inline report(who, fetches) {
  if
#ifdef BUG_OLDER
  :: fetches -> follower = known[who]
#else
  :: fetches && known[who] > follower -> follower = known[who]
#endif
  :: else
  fi;
#ifndef BUG_AGE
  if
  :: age[who] < AGE_LIMIT ->
#endif
#ifndef BUG_LEVEL
     if
     :: follower >= known[who] -> silence = 0
     :: else
     fi
#else
     silence = 0
#endif
#ifndef BUG_AGE
  :: else
  fi
#endif
}

inline watch(who, state, arrives, fetches) {
  if
  :: state == WELL -> known[who] = registry; age[who] = 0
#ifdef BUG_STALE
  :: state == CUT -> age[who] = 0
#endif
  :: else ->
     if
     :: age[who] < AGE_LIMIT -> age[who]++
     :: else
     fi
  fi;
  if
  :: state != SILENT && arrives -> report(who, fetches)
  :: else
  fi
}

proctype Steps() {
  byte before, number, first, second;
  bit changes, arrives_first, arrives_second, fetches;
  do
  :: atomic {
       select(first : WELL .. SILENT);
       select(second : WELL .. SILENT);
       select(arrives_first : 0 .. 1);
       select(arrives_second : 0 .. 1);
       select(fetches : 0 .. 1);
       select(changes : 0 .. 1);
       before = follower;
       for (number : 1 .. REVISIONS) {
         if
         :: number <= registry && since[number] <= BOUND -> since[number]++
         :: else
         fi
       };
       if
       :: changes && registry < REVISIONS -> registry++
       :: else
       fi;
       silence++;
       watch(0, first, arrives_first, fetches);
       watch(1, second, arrives_second, fetches);
#ifndef BUG_PATIENCE
       if
       :: silence > PATIENCE -> follower = registry; silence = PATIENCE
       :: else
       fi;
#else
       if
       :: silence > PATIENCE -> silence = PATIENCE
       :: else
       fi;
#endif
       assert(follower >= before);
       for (number : 1 .. REVISIONS) {
         assert(number > registry || number <= follower || since[number] < BOUND)
       };
       first = 0; second = 0; arrives_first = 0; arrives_second = 0; fetches = 0; changes = 0; number = 0; before = 0
     }
  od
}

init { run Steps() }
