/* Snapshot: a query over two shards of two replicas each while servers move from version 1 to 2.
 *
 * Checked: each merged part has the pinned version; an answer has one part of each shard.
 * Seeded defects: BUG_KEEP_PARTS (a new plan keeps old parts), BUG_NO_ECHO (the version in a reply is not
 * compared with the pinned version).
 */
#define SHARDS 2

bool holds[8];                 /* (shard * 2 + replica) * 2 + (version - 1) */
byte part[SHARDS];             /* version of the merged part; 0: none */
byte asked[SHARDS];            /* requested version; 0: no request in flight */
byte replies[SHARDS];          /* version of the reply in flight; 0: none, 9: unavailable */
byte pin = 1;
bool replanned = false;
bool done = false;

proctype Server(byte shard, replica) {
  byte me = (shard * 2 + replica) * 2;
  atomic { holds[me] = true };
  atomic { holds[me + 1] = true };
  atomic { holds[me] = false }
}

proctype Network(byte shard) { /* one of the shard's servers answers, correctly or with the wrong version */
  end: do
  :: atomic { asked[shard] != 0 && replies[shard] == 0 ->
       if
       :: holds[shard * 4 + asked[shard] - 1] -> replies[shard] = asked[shard]
       :: holds[shard * 4 + 2 + asked[shard] - 1] -> replies[shard] = asked[shard]
       :: !holds[shard * 4 + asked[shard] - 1] -> replies[shard] = 9
       :: replies[shard] = 3 - asked[shard]      /* another version than requested */
       fi;
       asked[shard] = 0 }
  od
}

inline take(shard) {
  if
  :: replies[shard] == 9 ->
     if
     :: !replanned && pin == 1 ->
        replanned = true;
        pin = 2;
#ifndef BUG_KEEP_PARTS
        part[0] = 0; part[1] = 0;
#endif
        replies[0] = 0; replies[1] = 0;          /* attempts of the old plan are cancelled */
        asked[0] = (part[0] == 0 -> 2 : 0);
        asked[1] = (part[1] == 0 -> 2 : 0)
     :: else -> done = true                      /* refused */
     fi
#ifdef BUG_NO_ECHO
  :: replies[shard] != 9 && replies[shard] != 0 -> part[shard] = replies[shard]; replies[shard] = 0
#else
  :: replies[shard] == pin -> part[shard] = replies[shard]; replies[shard] = 0
  :: replies[shard] != 9 && replies[shard] != pin && replies[shard] != 0 -> done = true
#endif
  fi
}

proctype Query() {
  atomic { asked[0] = pin; asked[1] = pin };
  do
  :: atomic { !done && replies[0] != 0 -> take(0) }
  :: atomic { !done && replies[1] != 0 -> take(1) }
  :: atomic { !done && part[0] != 0 && part[1] != 0 ->
       assert(part[0] == pin && part[1] == pin);
       done = true }
  :: done -> break
  od
}

init {
  atomic {
    holds[0] = true; holds[2] = true; holds[4] = true; holds[6] = true;
    run Server(0, 0); run Server(0, 1); run Server(1, 0); run Server(1, 1);
    run Network(0); run Network(1);
    run Query()
  }
}
