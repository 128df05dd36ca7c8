/*
 * At-most-once execution of one ticket: at most one run at the upstreams, and
 * none before or after the outcome "not run" was reported. pkg/atmostonce is
 * the implementation.
 *
 * Host 0 issued the ticket. Host 1 represents all other entry hosts: it
 * forwards requests, and it is the successor in a graceful shutdown. Each host
 * is a request handler and an executor, which interleave freely: between any
 * two steps a process may be paused for any time.
 *
 * The network between entry hosts gives no guarantees: a message may arrive
 * never, once, late, or any number of times. A run request is sent over one TCP
 * connection: it arrives once, late, or never, and can outlive its sender.
 *
 * A broken variant is this file with one macro defined; the check must detect it.
 * broken: RESEND HASH FORGET NOBURN WITHDRAW KEEP ADOPTTWICE ADOPTANY REFUSE
 */

#define KILLS 2  /* kills of each host */
#define SENDS 3  /* attempts per execution */

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
bool asked[2];          /* a copy of the request is in transit to the host */

bool handed;            /* a copy of the hand-over is in transit to host 1 */
byte handedTo;          /* the incarnation that may adopt it */
mtype handedRec;

byte wire[2];           /* run requests in transit to an upstream, by sender */
mtype result[2] = none; /* the upstream's response to the sender */
byte sends[2];
byte runs;
bool toldNotRun;

inline tellNotRun() {
  toldNotRun = true;
  assert(runs == 0)
}

/* An attempt, or the wait for one, ends without a run. */
inline endNotRun(h) {
#ifndef NOBURN
  rec[h] = notrun;
#else
  rec[h] = unused;
#endif
  tellNotRun()
}

/* Callers send and repeat the request through any host, at any time. */
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
       :: endNotRun(h)      /* the ticket expired or the deadline passed */
       fi }
  :: atomic { asked[h] && owns[h] && rec[h] == notrun -> tellNotRun() }
#ifdef REFUSE
     /* a host that is not ready or has no route refuses without asking the owner */
  :: atomic { asked[h] && !owns[h] -> tellNotRun() }
#endif
     /* Executing: the request joins. Ran, unknown: the result is replayed. Not
        the owner: the request is forwarded, or unknown is reported. None of
        these changes state. */
  od
}

proctype Executor(byte h) {
  byte mine;                /* the incarnation of the running attempt */
end:
  do
  :: atomic { owns[h] && rec[h] == admitted && sends[h] < SENDS ->
       rec[h] = sending; mine = inc[h]; sends[h]++ };
     /* a pause here delays the send; a kill prevents it */
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
       :: skip                    /* lost in transit; the sender times out */
       fi }
  od
}

/* A kill and a restart: all state is lost except the incarnation counter. */
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

/* A graceful shutdown of host 0, which hands its ledger to one incarnation of host 1. */
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
    owns[1] = true;         /* two member lists, two owners of the ticket */
#endif
    run Handler(0); run Handler(1);
    run Executor(0); run Executor(1);
    run Killer(0); run Killer(1)
  }
}
