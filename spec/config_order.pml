/*
 * Order of configuration versions over hosts without persistent state.
 *
 * One key with versions 1..MAXV. A version is revision*2+content, with content
 * 0 or 1, so that two contents of one revision are two versions in a total
 * order. Hosts restart with empty state, read a platform that may show any old
 * prefix of its history, exchange state in both directions while a link is up,
 * and serve after they have exchanged state with every reachable peer.
 *
 * Not modelled: paging, deltas and frontiers (an exchange is atomic), loss (an
 * exchange that does not happen), and how a host detects which peers are
 * reachable (mayServe knows; the code relies on responses and a bounded wait).
 * Healing is two rounds of exchanges in a ring.
 *
 * Checked by assertions:
 *   - the current version on a host never decreases while it runs;
 *   - a host that begins to serve has at least the version that each peer it
 *     exchanged state with served;
 *   - after healing and one exchange between all, all hosts have the same
 *     version.
 *
 * A broken variant is this file with one macro defined; the check must detect it.
 * With NAIVE a host adopts whatever the platform returned last and serves after
 * its first read. With FIRST the first content of a revision that a host saw
 * wins. With ALONE only the wait for peers is omitted.
 * broken: NAIVE FIRST ALONE
 */
#ifndef HOSTS
#define HOSTS 3
#endif
#define REVISIONS 2
#define REVISION(v) ((v) / 2)
#define STEPS 7

byte top = 0;             /* newest revision published */
byte inforce[HOSTS];      /* 0: none */
bool serving[HOSTS];
bool read[HOSTS];         /* has a response of the platform, read itself or received from a peer */
bool heard[HOSTS * HOSTS];/* heard[a*HOSTS+b]: a has the state that b had at their exchange */
byte needed[HOSTS];       /* the newest version served by a peer that the host exchanged state with */
bool split = false;       /* host 0 is partitioned from the others */
byte steps = 0;

#define LINKED(a, b) (!split || ((a) != 0 && (b) != 0))

inline join(h, v) {
#ifdef NAIVE
	inforce[h] = v;
#else
#ifdef FIRST
	if
	:: REVISION(v) > REVISION(inforce[h]) -> inforce[h] = v
	:: else -> skip
	fi;
#else
	if
	:: v > inforce[h] -> inforce[h] = v
	:: else -> skip
	fi;
#endif
#endif
}

/* take joins v and checks that the version does not regress. */
inline take(h, v) {
	before = inforce[h];
	join(h, v);
	assert(!serving[h] || inforce[h] >= before);
}

/* exchange is a complete comparison: both hosts end with the join of both states. */
inline exchange(a, b) {
	if
	:: serving[b] && inforce[b] > needed[a] -> needed[a] = inforce[b]
	:: else -> skip
	fi;
	if
	:: serving[a] && inforce[a] > needed[b] -> needed[b] = inforce[a]
	:: else -> skip
	fi;
	v = inforce[a];
	w = inforce[b];
	take(a, w);
	take(b, v);
	heard[a * HOSTS + b] = true;
	heard[b * HOSTS + a] = true;
	informed = read[a] || read[b];
	read[a] = informed;
	read[b] = informed;
}

inline restart(h) {
	inforce[h] = 0;
	serving[h] = false;
	read[h] = false;
	needed[h] = 0;
	p = 0;
	do
	:: p < HOSTS -> heard[h * HOSTS + p] = false; p++
	:: else -> break
	od;
}

/* mayServe sets ok if all reachable peers and the platform have responded. */
inline mayServe(h) {
	ok = read[h];
#ifndef NAIVE
#ifndef ALONE
	p = 0;
	do
	:: p < HOSTS ->
		if
		:: p != h && !heard[h * HOSTS + p] && LINKED(h, p) -> ok = false
		:: else -> skip
		fi;
		p++
	:: else -> break
	od;
#endif
#endif
}

active proctype fleet() {
	byte h, q, p, v, w, before, r;
	bool ok, informed;

	do
	:: steps < STEPS ->
		d_step { /* reset the locals, which carry nothing from one step to the next */
			steps++;
			h = 0; q = 0; p = 0; v = 0; w = 0; before = 0; r = 0;
			ok = false; informed = false
		}
		do
		:: h < HOSTS - 1 -> h++
		:: break
		od;
		q = (h + 1) % HOSTS;
		if
		:: atomic { top < REVISIONS -> top++ }
		:: atomic { /* read: the platform shows a prefix of its history, with either content */
			r = 0;
			do
			:: r < top -> r++
			:: break
			od;
			if
			:: r == 0 -> skip
			:: r > 0 -> v = r * 2; take(h, v)
			:: r > 0 -> v = r * 2 + 1; take(h, v)
			fi;
			read[h] = true
		   }
		:: atomic { LINKED(h, q) -> exchange(h, q) }
		:: atomic { restart(h) }
		:: atomic { !serving[h] -> mayServe(h);
			if
			:: ok ->
				serving[h] = true;
				/* reachable peers, whether state was exchanged with them or not */
				p = 0;
				do
				:: p < HOSTS ->
					if
					:: p != h && serving[p] && LINKED(h, p) && inforce[p] > needed[h] && !heard[h * HOSTS + p] ->
						needed[h] = inforce[p]
					:: else -> skip
					fi;
					p++
				:: else -> break
				od;
				assert(inforce[h] >= needed[h])
			:: else -> skip
			fi
		   }
		:: atomic { split = !split }
		fi
	:: steps == STEPS -> break
	od;

	/* Healing: all hosts exchange state in two rounds and must then agree. */
	atomic {
		split = false;
		r = 0;
		do
		:: r < 2 ->
			h = 0;
			do
			:: h < HOSTS ->
				q = (h + 1) % HOSTS;
				exchange(h, q);
				h++
			:: else -> break
			od;
			r++
		:: else -> break
		od;
		h = 1;
		do
		:: h < HOSTS -> assert(inforce[h] == inforce[0]); h++
		:: else -> break
		od
	}
}
