/* Roll-outs: two deciders move a service from the old version to the new one through records in a
 * registry, messages to a node that sends requests, and the node's reports. Any message or report may be
 * lost or delayed, a decider may be paused and resume with stale state, a version may be found bad at any
 * time, an answer of the registry may be lost, and a write without an answer may take effect later. The node
 * may become unresponsive, and the deciders then stop waiting for it; it reads the record before it resumes.
 *
 * Timing assumption: COMPLETED is tried only after the observation under full load. By then each decider
 * that was not paused knows of SWITCHING, and a ROLLED_BACK sent at the canary's share has been received.
 *
 * Checked: there is one final state, never both, and none is announced before it is recorded; when COMPLETED
 * is recorded, a responsive node has no request in flight at an old server and sends none there afterwards;
 * a node that received ROLLED_BACK sends nothing to the new version once that is recorded.
 * Seeded defects: BUG_CONDITION, BUG_BARRIER, BUG_TELL_FIRST, BUG_WOKEN, BUG_STICKY.
 */
#define NOTHING 0
#define CANARY 1
#define SWITCHING 2
#define COMPLETED 3
#define ROLLED_BACK 4
#define OTHER (1 - me)
#define MAY_COMPLETE(d) (!paused[d] && !woken[d] && !sent[d] && known[d] == SWITCHING && !halted[d] && LEFT_OLD(d) && !told_first)
#define MAY_NOT_KNOW(d) (!paused[d] && !woken[d] && known[d] < SWITCHING)

#ifdef BUG_CONDITION
#define HOLDS(at) (true)
#else
#define HOLDS(at) (at == revision)
#endif
#ifdef BUG_BARRIER
#define LEFT_OLD(d) (true)
#else
#define LEFT_OLD(d) (!may_use_old[d])
#endif
#ifdef BUG_TELL_FIRST
#define BEFORE_SWITCH(d) (known[d] <= SWITCHING)
#else
#define BEFORE_SWITCH(d) (known[d] == CANARY)
#endif
#ifdef BUG_WOKEN
#define AWAKE(d) (true)
#else
#define AWAKE(d) (!woken[d])
#endif

byte record = CANARY;
byte revision = 1;
bit told[5];
bit told_first = 0;        /* ROLLED_BACK was announced before it was recorded */

byte known[2] = CANARY;
byte known_at[2] = 1;      /* the base revision of a decider's writes */
bit halted[2];
bit paused[2];
bit woken[2];              /* has not read the record since its pause */
bit may_use_old[2] = 1;    /* the node's last report */
byte sent[2];              /* a write in flight */
byte sent_at[2];
byte late;                 /* a write without an answer that may still take effect */
byte late_at;

byte obeys = CANARY;
bit heard_back = 0;
bit ever_heard_back = 0;
bit under_way = 1;         /* a request in flight at an old server */
bit silent = 0;

inline write(state, at) {
  if
  :: HOLDS(at) ->
     assert(record != COMPLETED && record != ROLLED_BACK);
     assert(state != COMPLETED || silent || !under_way);
     record = state;
     revision++
  :: else
  fi
}

inline read(d) {
  known[d] = record;
  known_at[d] = revision;
  woken[d] = 0
}

proctype Decider(byte me) {
  do
  :: atomic { !paused[me] && known[me] < COMPLETED && !halted[me] -> halted[me] = 1 }
  :: atomic { paused[me] = !paused[me]; if :: !paused[me] -> woken[me] = 1 :: else fi }
  /* writes */
  :: atomic { !paused[me] && !sent[me] && known[me] < COMPLETED && halted[me] ->
       sent[me] = ROLLED_BACK; sent_at[me] = known_at[me] }
  :: atomic { !paused[me] && !sent[me] && known[me] == CANARY && !halted[me] ->
       sent[me] = SWITCHING; sent_at[me] = known_at[me] }
  :: atomic { MAY_COMPLETE(me) && !MAY_NOT_KNOW(OTHER) ->
       sent[me] = COMPLETED; sent_at[me] = known_at[me] }
  /* results of writes: with an answer, without one, or delayed */
  :: atomic { sent[me] -> write(sent[me], sent_at[me]); sent[me] = NOTHING; sent_at[me] = 0;
       if
       :: !paused[me] -> read(me)
       :: true
       fi }
  :: atomic { sent[me] && !late ->
       late = sent[me]; late_at = sent_at[me]; sent[me] = NOTHING; sent_at[me] = 0 }
  :: atomic { late -> write(late, late_at); late = NOTHING; late_at = 0 }
  /* receives */
  :: atomic { !paused[me] && known_at[me] != revision -> read(me) }
  :: atomic { !paused[me] && told[SWITCHING] && known[me] < SWITCHING -> known[me] = SWITCHING }
  :: atomic { !paused[me] && told[COMPLETED] && known[me] < COMPLETED -> known[me] = COMPLETED }
  :: atomic { !paused[me] && told[ROLLED_BACK] && known[me] < COMPLETED -> halted[me] = 1 }
  /* announces */
  :: atomic { !paused[me] && !told[known[me]] ->
       assert(known[me] < COMPLETED || record == known[me]); told[known[me]] = 1 }
  :: atomic { !paused[me] && halted[me] && !told[ROLLED_BACK] && BEFORE_SWITCH(me) && AWAKE(me) ->
       told[ROLLED_BACK] = 1; told_first = 1 }
  od
}

#define AT_OLD (obeys == CANARY || (heard_back && obeys != COMPLETED))
#define AT_NEW (obeys == COMPLETED || !heard_back)

inline report(d) {
  may_use_old[d] = AT_OLD || under_way;
  if
  :: AT_OLD && heard_back && known[d] < COMPLETED -> halted[d] = 1
  :: else
  fi
}

proctype Node() {
  byte each;
  do
  /* receives messages, also delayed and repeated ones, and reads the record */
  :: atomic { !silent && told[ROLLED_BACK] -> heard_back = 1; ever_heard_back = 1 }
  :: atomic { !silent -> select(each : CANARY .. COMPLETED);
       if
       :: told[each] ->
          if :: each > obeys -> obeys = each :: else fi;
#ifdef BUG_STICKY
          heard_back = 0
#endif
       :: else
       fi;
       each = 0 }
  :: atomic { !silent ->
       if
       :: record == ROLLED_BACK -> heard_back = 1; ever_heard_back = 1
       :: record != ROLLED_BACK && record > obeys -> obeys = record
       :: else
       fi }
  /* sends */
  :: atomic { !silent && AT_OLD -> assert(record != COMPLETED); under_way = 1 }
  :: atomic { !silent && AT_NEW -> assert(!(ever_heard_back && record == ROLLED_BACK)) }
  :: atomic { under_way -> under_way = 0 }
  /* reports */
  :: atomic { !silent && !paused[0] -> report(0) }
  :: atomic { !silent && !paused[1] -> report(1) }
  /* becomes unresponsive, and resumes: requests in flight are lost, and it reads the record first */
  :: atomic { !silent -> silent = 1; may_use_old[0] = 0; may_use_old[1] = 0 }
  :: atomic { silent -> silent = 0; under_way = 0; may_use_old[0] = 1; may_use_old[1] = 1;
       if
       :: record == ROLLED_BACK -> heard_back = 1; ever_heard_back = 1
       :: record != ROLLED_BACK && record > obeys -> obeys = record
       :: else
       fi }
  od
}

init { atomic { run Decider(0); run Decider(1); run Node() } }
