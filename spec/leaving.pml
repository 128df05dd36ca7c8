/*
 * Leaving upstreams (pkg/lifecycle): two entry hosts, one upstream, documents
 * 1..DOCS, activations, refusals, and notices between the hosts that may be
 * delayed, lost and duplicated.
 *
 * Invariant: a host that has learned, from the upstream or from a peer, that the
 * upstream is leaving reactivates it only for a document that takes precedence.
 *
 * The told_* variables are ghost variables: sets of facts, separate from the
 * joined numbers that the implementation stores.
 *
 * A broken variant is this file with one macro defined; the check must detect it.
 * With LAST_WINS a notice replaces the state of a host instead of being joined with it.
 * broken: LAST_WINS
 */
#define HOSTS 2
#define DOCS 3

byte published = 0;
byte published_act = 0;
bool doc_draining[4];
byte doc_act[4];

byte host_doc[HOSTS];
byte drain_rev[HOSTS];
byte left_below[HOSTS];
byte told_drain[HOSTS];	/* bit r: document r says draining */
byte told_left[HOSTS];	/* bit a: activation a is over */

chan notices[HOSTS] = [2] of { byte, byte, byte, byte };

#define MAX(a, b) ((a) > (b) -> (a) : (b))

#define TAKES(h) (host_doc[h] > 0 && !doc_draining[host_doc[h]] && \
	host_doc[h] > drain_rev[h] && doc_act[host_doc[h]] >= left_below[h])

/* No known drain newer than the document, no known end of this activation or a later one. */
#define MAY_TAKE(h) ((told_drain[h] >> host_doc[h]) == 0 && \
	(told_left[h] >> doc_act[host_doc[h]]) == 0)

inline check(h) {
	assert(!TAKES(h) || MAY_TAKE(h))
}

active proctype Operator() {
	do
	:: atomic { published < DOCS ->
		if
		:: doc_draining[published + 1] = true
		:: doc_draining[published + 1] = false
		:: published_act++
		fi;
		doc_act[published + 1] = published_act;
		published++
	}
	:: published == DOCS -> break
	od
}

inline read_document(h) {
	/* The platform may be stale: it may return any document up to the newest. */
	select(rev : 1 .. DOCS);
	if
	:: rev <= published && rev > host_doc[h] ->
		host_doc[h] = rev;
		if
		:: doc_draining[rev] ->
			drain_rev[h] = MAX(drain_rev[h], rev);
			told_drain[h] = told_drain[h] | (1 << rev)
		:: else
		fi
	:: else
	fi;
	rev = 0
}

inline merge(h) {
#ifdef LAST_WINS
	drain_rev[h] = d;
	left_below[h] = l;
#else
	drain_rev[h] = MAX(drain_rev[h], d);
	left_below[h] = MAX(left_below[h], l);
#endif
	told_drain[h] = told_drain[h] | td;
	told_left[h] = told_left[h] | tl;
	d = 0; l = 0; td = 0; tl = 0
}

proctype Host(byte me) {
	byte rev, d, l, td, tl;
	do
	:: atomic { published > 0 -> read_document(me); check(me) }
	:: atomic { TAKES(me) ->	/* the upstream refuses a request */
		left_below[me] = MAX(left_below[me], doc_act[host_doc[me]] + 1);
		told_left[me] = told_left[me] | (1 << doc_act[host_doc[me]]);
		check(me)
	}
	:: atomic { nfull(notices[1 - me]) ->
		notices[1 - me]!drain_rev[me], left_below[me], told_drain[me], told_left[me]
	}
	:: atomic { notices[me]?d, l, td, tl -> merge(me); check(me) }
	:: atomic { notices[me]?<d, l, td, tl> -> merge(me); check(me) }	/* delivered again later */
	:: atomic { nempty(notices[me]) -> notices[me]?_, _, _, _ }	/* lost */
	od
}

init {
	atomic {
		run Host(0);
		run Host(1)
	}
}
