/* Established versions: nodes learn which version of a service serves from the registry's record, from an
 * order that was completed, from one another or from the listed entries; nodes are killed and started again at
 * any time, all at once too, and without an order. Entries of the serving version may lapse and come back. The
 * record may be unreadable when a node starts; it is read later. A write names the record that it replaces.
 *
 * Assumption: servers of the later version are listed, and a completed order is removed, only once the record
 * says what served before, and what the order established.
 *
 * Checked: a node that has read the record never takes the later version for the serving one before an order
 * completed it, nor the former one once that order has been removed; the record never goes back.
 * Seeded defects: BUG_NO_RECORD, BUG_LISTING, BUG_GUESS_TOLD, BUG_WRITE.
 */
#define NODES 2
#define FORMER 1
#define LATER 2
#define GUESS 0
#define LISTING 1
#define RECORD 2

byte record = 0;           /* the recorded version; 0 before the first write */
byte record_since = 0;     /* 1: established by the order */
bit former_listed = 1;
bit later_listed = 0;
bit completed = 0;
bit removed = 0;
bit alive[NODES];
bit has_read[NODES];       /* has read the record since its start */
byte known[NODES];
byte basis[NODES];
byte since[NODES];
byte read_record[NODES];   /* what a writer has read */
byte read_since[NODES];
bit writing[NODES];

inline adopt(me, version, from, at) {
  known[me] = version; basis[me] = from; since[me] = at
}

inline read(me) {
#ifndef BUG_NO_RECORD
  has_read[me] = 1;
  if
#ifdef BUG_LISTING
  :: record != 0 && basis[me] == GUESS -> adopt(me, record, RECORD, record_since)
#else
  :: record != 0 && (basis[me] != RECORD || since[me] < record_since) -> adopt(me, record, RECORD, record_since)
#endif
  :: else
  fi
#else
  has_read[me] = 1
#endif
}

inline ask(me, other) {
  if
#ifdef BUG_GUESS_TOLD
  :: basis[me] == GUESS && alive[other] && known[other] != 0 -> adopt(me, known[other], RECORD, 0)
#else
  :: basis[me] == GUESS && alive[other] && basis[other] != GUESS -> adopt(me, known[other], LISTING, 0)
#endif
  :: else
  fi
}

inline start(me) {
  alive[me] = 1; has_read[me] = 0; writing[me] = 0;
  if
  :: completed && !removed -> adopt(me, LATER, RECORD, 1)
  :: else ->
     if
     :: former_listed && !later_listed -> adopt(me, FORMER, LISTING, 0)
     :: !former_listed && later_listed -> adopt(me, LATER, LISTING, 0)
     :: former_listed && later_listed -> adopt(me, FORMER, GUESS, 0)
     :: former_listed && later_listed -> adopt(me, LATER, GUESS, 0)
     fi
  fi
}

inline wrong(me) {
  assert(!(has_read[me] && known[me] == LATER && !completed));
  assert(!(has_read[me] && known[me] == FORMER && removed))
}

proctype Node(byte me) {
  byte other = 1 - me;
  do
  :: atomic { !alive[me] && (former_listed || later_listed) -> start(me) }
  :: atomic { alive[me] -> alive[me] = 0; known[me] = 0; has_read[me] = 0; writing[me] = 0 }
  :: atomic { alive[me] && !has_read[me] -> read(me); wrong(me) }
  :: atomic { alive[me] && basis[me] == GUESS -> ask(me, other) }
  :: atomic { alive[me] && completed && !removed && since[me] == 0 -> adopt(me, LATER, RECORD, 1) }
  :: atomic {
       alive[me] && has_read[me] && basis[me] != GUESS && !writing[me] ->
       read(me); wrong(me);
       if
       :: record == 0 || since[me] > record_since ->
          read_record[me] = record; read_since[me] = record_since; writing[me] = 1
       :: else
       fi
     }
  :: atomic {
       alive[me] && writing[me] ->
       writing[me] = 0;
       if
#ifdef BUG_WRITE
       :: true ->
#else
       :: read_record[me] == record && read_since[me] == record_since ->
#endif
          assert(record == 0 || since[me] >= record_since);
          record = known[me]; record_since = since[me]
#ifndef BUG_WRITE
       :: else
#endif
       fi
     }
  od
}

proctype Operator() {
  do
  :: atomic { record != 0 && !later_listed -> later_listed = 1 }
  :: atomic { later_listed && !completed -> completed = 1; former_listed = 1 }
  :: atomic { completed && !removed && record == LATER -> removed = 1 }
  :: atomic { former_listed && later_listed -> former_listed = 0 }
  :: atomic { !former_listed -> former_listed = 1 }
  od
}

init { atomic { run Node(0); run Node(1); run Operator() } }
