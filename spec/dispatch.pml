/* Dispatch: one request to one shard with two replicas. A server may decline, run and answer, run and
 * lose the answer, or freeze while it holds the request and run it later; the deadline may expire at any
 * time.
 *
 * Checked: a non-repeatable request runs at most once; the verdict "not run" means that the request has not
 * run and never will; there is exactly one final answer.
 * Seeded defects: BUG_RETRY_IN_DOUBT, BUG_HEDGE_ONCE, BUG_LIVE_NOT_RUN, BUG_LATE_ANSWER.
 */
#define NOT_RUN 0
#define MAY_HAVE_RUN 1
#define RAN 2

mtype = { idle, sent, declined, answered, lost, dropped };

mtype attempt[2] = idle;
bool pending[2];               /* the server still holds the request and may run it */
byte runs = 0;
bool repeatable;
byte verdict = NOT_RUN;        /* maximum over the attempts that ended */
bool finished = false;
byte finals = 0;
byte final_verdict = 255;
bool final_is_answer = false;

/* the node has sent the attempt and has not read its result */
#define UNREAD(number) (attempt[number] != idle && attempt[number] != dropped)

inline send(number) { attempt[number] = sent; pending[number] = true }

inline run_pending(number) {
  pending[number] = false;
  runs++;
  assert(repeatable || runs <= 1);
  assert(!(finished && !final_is_answer && final_verdict == NOT_RUN))
}

proctype Server(byte number) {
  end: do
  :: atomic { pending[number] && attempt[number] == sent -> pending[number] = false; attempt[number] = declined }
  :: atomic { pending[number] -> run_pending(number);
       if
       :: attempt[number] == sent -> attempt[number] = answered
       :: attempt[number] == sent -> attempt[number] = lost
       :: else                 /* cancelled meanwhile: the result is discarded */
       fi }
  od
}

inline finish(is_answer) {
  finals++;
  assert(finals == 1);
  finished = true;
  final_is_answer = is_answer;
  final_verdict = verdict;
#ifndef BUG_LIVE_NOT_RUN
  if
  :: (UNREAD(0) || UNREAD(1)) && verdict == NOT_RUN -> final_verdict = MAY_HAVE_RUN
  :: else
  fi;
#endif
  assert(is_answer || final_verdict != NOT_RUN || (runs == 0 && !pending[0] && !pending[1]))
}


inline end_attempt(number, other) {
  if
  :: attempt[number] == answered -> attempt[number] = dropped; verdict = RAN; finish(true)
  :: attempt[number] == declined -> attempt[number] = dropped
  :: attempt[number] == lost -> attempt[number] = dropped;
     if
     :: verdict < MAY_HAVE_RUN -> verdict = MAY_HAVE_RUN
     :: else
     fi
  fi;
  if
  :: !finished && attempt[other] == idle ->
#ifdef BUG_RETRY_IN_DOUBT
     send(other)
#else
     if
     :: repeatable || verdict == NOT_RUN -> send(other)
     :: else -> finish(false)
     fi
#endif
  :: !finished && attempt[other] == dropped -> finish(false)
  :: else
  fi
}

#ifdef BUG_LATE_ANSWER
#define LISTENS true
#else
#define LISTENS !finished
#endif

proctype Node() {
  atomic { send(0) };
  end: do
  :: atomic { LISTENS && (attempt[0] == answered || attempt[0] == declined || attempt[0] == lost) -> end_attempt(0, 1) }
  :: atomic { LISTENS && (attempt[1] == answered || attempt[1] == declined || attempt[1] == lost) -> end_attempt(1, 0) }
#ifdef BUG_HEDGE_ONCE
  :: atomic { !finished && attempt[0] == sent && attempt[1] == idle -> send(1) }
#else
  :: atomic { !finished && repeatable && attempt[0] == sent && attempt[1] == idle -> send(1) }
#endif
  :: atomic { !finished -> finish(false) }       /* the deadline */
  od
}

init {
  if
  :: repeatable = true
  :: repeatable = false
  fi;
  atomic { run Server(0); run Server(1); run Node() }
}
