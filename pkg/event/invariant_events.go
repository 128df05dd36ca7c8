package event

// Codes 10600-10699: broken invariants of membership.
const (
	InvariantIncarnationBack Code = 10600
	InvariantSelfOverwritten Code = 10601
	InvariantDeathUntimed    Code = 10602
	InvariantWakingJudged    Code = 10603
)

// invariantEvents describes the codes 10xxx: broken invariants; each stops the request concerned, not the process.
var invariantEvents = map[Code]Entry{
	InvariantIncarnationBack: {"invariant-incarnation-back", Error, "News about a member would have replaced newer news; it was dropped.", "incarnation"},
	InvariantSelfOverwritten: {"invariant-self-overwritten", Error, "News from elsewhere would have replaced this host's own entry; it was dropped.", "incarnation"},
	InvariantDeathUntimed:    {"invariant-death-untimed", Error, "A member would have been declared dead without a suspicion that ran out.", "incarnation"},
	InvariantWakingJudged:    {"invariant-waking-judged", Error, "A member would have been judged while this process was waking.", "incarnation"},
}
