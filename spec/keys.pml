/* Idempotency keys: three nodes ranked 0, 1, 2 for one key; one membership change (a node is
 * lost, restarts with empty state, or joins late) may occur at any time; the request and its repeat are each
 * sent to the owner at that time.
 *
 * Checked: a non-repeatable request runs at most once.
 * Seeded defects: BUG_NO_RESERVE, BUG_NO_RECORD.
 */
#define NODES 3
#define NONE 0
#define RUNNING 1
#define DONE 2

bool alive[NODES] = true;
byte record[NODES];
byte runs = 0;
byte changes = 1;

inline pick(owner, backup) {   /* the first two members that are alive, by rank */
  if
  :: alive[0] -> owner = 0; if :: alive[1] -> backup = 1 :: else -> backup = 2 fi
  :: !alive[0] -> owner = 1; backup = 2
  fi
}

proctype Request() {
  byte owner, backup;
  bool go = false;
  atomic {                     /* the owner checks for a record of its own and creates one */
    pick(owner, backup);
    if
    :: record[owner] != NONE -> go = false       /* joins or replays the first request */
    :: else -> record[owner] = RUNNING; go = true
    fi
  };
  if
  :: go ->
#ifndef BUG_NO_RESERVE
     atomic {                  /* reserve at the chosen backup; refuse if that is lost */
       if
       :: !alive[backup] -> go = false; record[owner] = NONE
       :: alive[backup] && record[backup] != NONE -> go = false
       :: else -> record[backup] = RUNNING
       fi
     };
#endif
     atomic {
       if
       :: go && alive[owner] && record[owner] != NONE ->
          runs++;
          assert(runs <= 1);
#ifdef BUG_NO_RECORD
          record[owner] = NONE; record[backup] = NONE
#else
          record[owner] = DONE; record[backup] = DONE
#endif
       :: else                 /* refused, or the owner was lost before it sent anything */
       fi
     }
  :: else
  fi
}

proctype Change() {
  byte node;
  select(node : 0 .. NODES - 1);
  if
  :: atomic { changes > 0 && alive[node] -> changes--; alive[node] = false; record[node] = NONE }
  :: atomic { changes > 0 && alive[node] -> changes--; record[node] = NONE }   /* immediate restart, empty state */
  :: skip
  fi
}

init {
  bool joins_late = false;
  atomic {
    if
    :: skip                    /* all three from the start, one of which may change */
    :: joins_late = true; alive[0] = false; changes = 0   /* or the highest rank joins later */
    fi;
    run Change()
  };
  run Request();
  if
  :: joins_late -> alive[0] = true
  :: else
  fi;
  run Request()                /* the repeat, at any time, possibly while the first still runs */
}
