/*
 * Single execution of one ticket: at most one run at the upstreams, and none
 * before or after an answer "not run". pkg/atmostonce is the implementation.
 *
 * Host 0 issued the ticket. Host 1 stands for every other entry host: it
 * forwards, and it is the successor of a planned stop. Each host is a handler
 * of asks and an executor, which interleave freely: between any two steps a
 * process may be paused for any time.
 *
 * The network between entry hosts is the weakest: a message that was sent can
 * arrive never, once, late, or any number of times. A run request rides on one
 * TCP connection: it arrives once, late, or never, and can outlive its sender.
 *
 * A broken twin is this file with one macro defined; the check must catch it.
 * broken: RESEND HASH FORGET NOBURN WITHDRAW KEEP ADOPTTWICE ADOPTANY REFUSE
 */

#define KILLS 2  /* kills of each host */
#define SENDS 3  /* attempts of one execution */

#ifndef ADOPTANY
#define FOR_THIS_LIFE (handedTo == inc[1])
#else
#define FOR_THIS_LIFE true
#endif
#ifndef ADOPTTWICE
#define NOT_ADOPTED (!adopted[1])
#else
#define NOT_ADOPTED true
#endif

mtype = { unused, admitted, sending, ran, notrun, unknown };
mtype = { none, upRan, upRefused };

mtype rec[2] = unused;  /* the record of the ticket at each host */
bool owns[2];           /* the host may execute the ticket */
bool adopted[2];        /* the host took over a ledger in this incarnation */
byte inc[2];            /* incarnations */
bool asked[2];          /* a copy of the request travels to the host */

bool handed;            /* a copy of the hand-over travels to host 1 */
byte handedTo;          /* the incarnation that it is for */
mtype handedRec;

byte wire[2];           /* run requests on their way to an upstream, by sender */
mtype result[2] = none; /* the upstream's reply to the sender */
byte sends[2];
byte runs;
bool toldNotRun;

inline tellNotRun() {
  toldNotRun = true;
  assert(runs == 0)
}

/* end of an attempt or of the wait for it, without a run */
inline endNotRun(h) {
#ifndef NOBURN
  rec[h] = notrun;
#else
  rec[h] = unused;
#endif
  tellNotRun()
}

/* callers ask through any host, at any time, as often as they like */
active proctype Callers() {
  do
  :: !asked[0] -> asked[0] = true
  :: !asked[1] -> asked[1] = true
  :: asked[0] && asked[1] -> break
  od
}

proctype Handler(byte h) {
end:
  do
  :: atomic { asked[h] && owns[h] && rec[h] == unused ->
       if
       :: rec[h] = admitted
       :: endNotRun(h)      /* expired, or past its deadline */
       fi }
  :: atomic { asked[h] && owns[h] && rec[h] == notrun -> tellNotRun() }
#ifdef REFUSE
     /* a host that is not ready, or has no route, refuses on its own */
  :: atomic { asked[h] && !owns[h] -> tellNotRun() }
#endif
     /* executing: joins; ran, unknown: replayed; not the owner: forwards, or
        answers unknown. None of them changes state. */
  od
}

proctype Executor(byte h) {
  byte mine;                /* the incarnation of the running attempt */
end:
  do
  :: atomic { owns[h] && rec[h] == admitted && sends[h] < SENDS ->
       rec[h] = sending; mine = inc[h]; sends[h]++ };
     /* a pause here is a send that leaves late; a kill means it never leaves */
     if
     :: atomic { inc[h] == mine -> wire[h]++ }
     :: inc[h] != mine
     fi
  :: atomic { owns[h] && rec[h] == sending && result[h] == upRan -> rec[h] = ran; result[h] = none }
  :: atomic { owns[h] && rec[h] == sending && result[h] == upRefused ->
       result[h] = none;
       if
       :: rec[h] = admitted /* another upstream is tried */
       :: endNotRun(h)
       fi }
  :: atomic { owns[h] && rec[h] == sending ->   /* time-out */
#ifndef RESEND
       rec[h] = unknown
#else
       rec[h] = admitted
#endif
     }
  :: atomic { owns[h] && rec[h] == admitted ->  /* withdrawn, or the deadline passed */
#ifndef WITHDRAW
       endNotRun(h)
#else
       tellNotRun()
#endif
     }
  od
}

active proctype Upstreams() {
  byte h;
end:
  do
  :: atomic { (wire[0] > 0 || wire[1] > 0) ->
       if
       :: wire[0] > 0 -> h = 0
       :: wire[1] > 0 -> h = 1
       fi;
       wire[h]--;
       if
       :: runs++; assert(runs <= 1); assert(!toldNotRun); result[h] = upRan
       :: result[h] = upRefused   /* refused, or could not connect */
       :: skip                    /* lost on the way; the sender times out */
       fi }
  od
}

/* a kill and a restart: everything is forgotten but the next incarnation */
proctype Killer(byte h) {
end:
  do
  :: atomic { inc[h] < KILLS ->
       inc[h]++; rec[h] = unused; adopted[h] = false; result[h] = none;
#ifndef FORGET
       owns[h] = false
#endif
     }
  od
}

/* a planned stop of host 0, which hands its ledger to one incarnation of host 1 */
active proctype HandOver() {
end:
  atomic { owns[0] && rec[0] != admitted && rec[0] != sending ->
    handed = true; handedTo = inc[1]; handedRec = rec[0];
#ifndef KEEP
    owns[0] = false
#endif
  }
}

active proctype Successor() {
end:
  do
  :: atomic { (handed && FOR_THIS_LIFE && NOT_ADOPTED) ->
       adopted[1] = true; owns[1] = true; rec[1] = handedRec }
  od
}

init {
  atomic {
    owns[0] = true;
#ifdef HASH
    owns[1] = true;         /* two views of the members, two homes */
#endif
    run Handler(0); run Handler(1);
    run Executor(0); run Executor(1);
    run Killer(0); run Killer(1)
  }
}
