package poison

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Crash is the crash of an upstream while it ran a request.
type Crash struct {
	// Request is the request that ran.
	Request Fingerprint
	// Upstream identifies the upstream, and Host the entry host that observed the crash. Both
	// are the same on all hosts.
	Upstream, Host uint64
	// SentAt is when the request was sent, and EndedAt when the connection ended, by the
	// clock of the host that holds this value.
	SentAt, EndedAt time.Time
}

// MinCrashes is how many upstreams have to crash under a request before it is refused. One or
// two crashes also happen under requests that were only in flight: in one incident, 4 of 32 such
// requests had lost two attempts.
const MinCrashes = 3

const (
	// minUnanswered is how long a request must have been without an answer, for any caller, before
	// it is refused whoever sends it. A page that many callers request is in flight at most
	// upstreams at any time, so that three crashes under another request may coincide with it;
	// within that time it is answered by some upstream.
	minUnanswered = 500 * time.Millisecond
	// minTiedCrashes is how many upstreams have to crash under two requests that were in flight at
	// the same ones before both are refused whoever sends them.
	minTiedCrashes = 5
	// initialQuarantine is how long a request is refused after the last crash. Each later
	// crash after a quarantine multiplies the duration by quarantineGrowth: a request that
	// keeps crashing upstreams crashes 3 at first and 4 more within a day.
	initialQuarantine = 5 * time.Minute
	quarantineGrowth  = 4
	maxQuarantine     = 24 * time.Hour
	// crashRetention is how long a crash without a quarantine is remembered.
	crashRetention = 30 * time.Minute
	// sameCrashWindow is the longest time between two reports of one crash of an upstream. An
	// upstream that restarts under its id takes longer to return and crash again.
	sameCrashWindow = time.Second
	// killSlack is how long it takes to kill many upstreams together; a retry in the meantime
	// may reach the next one that is killed. If different hosts observed the crashes,
	// hostSlack applies, which allows for the delay of a report and for a busy host.
	killSlack = 10 * time.Millisecond
	hostSlack = 50 * time.Millisecond
	// maxSuspects bounds the number of suspects, and maxCrashes the crashes of each. At 88
	// bytes for a Crash, they take at most 1.4 MB.
	maxSuspects = 1024
	maxCrashes  = 16
	// maxContents bounds the requests that are known by upstream. An upstream runs few requests at
	// a time.
	maxContents = 64
	// expireInterval is the interval between removals of expired suspects.
	expireInterval = time.Minute
	// answeredInterval is the shortest interval at which other hosts are notified again that
	// a suspect was answered.
	answeredInterval = time.Second
)

// suspect is a request under which upstreams crashed.
type suspect struct {
	request Fingerprint // of one of the callers
	crashes []Crash     // by EndedAt, oldest first
	// answered is when the request was last answered, for any caller.
	answered time.Time
	// since holds one report of each crash since then, oldest first.
	since []Crash
	// reported is set once Begun has returned the request.
	reported bool
}

// Table records under which requests upstreams crashed, on this host or on others, and
// determines which requests are refused. A request of a caller is refused if three upstreams
// crashed under it, and at least one of them was sent the request after another had crashed.
// Upstreams that crash together for a reason of their own therefore cause no refusals. An answer
// to the caller clears the crashes under its request.
//
// A request is refused whoever sends it if the same holds for the crashes under the requests of
// all callers together since one of them was last answered, and the first of these crashes was
// half a second ago.
//
// Several requests are in flight at an upstream when it crashes. A crash does not count against a
// request if another one, under which three upstreams crashed before, was in flight there too.
type Table struct {
	count atomic.Int64 // of suspects; avoids the lock if there are none

	mu       sync.RWMutex
	suspects map[uint64]*suspect // by content
	targets  map[uint64]int      // number of suspects by target
	// contents holds the contents of the requests under which an upstream crashed, by upstream. It
	// may also hold some whose crashes have been removed since.
	contents map[uint64][]uint64
	// cleared is when the request of a caller was last answered after crashes, by Caller of the
	// fingerprint. Hosts that missed the answer repeat the crashes from before it.
	cleared map[uint64]time.Time
	expired time.Time // when expire last ran
}

// NewTable returns a table without suspects.
func NewTable() *Table {
	return &Table{
		suspects: make(map[uint64]*suspect),
		targets:  make(map[uint64]int),
		contents: make(map[uint64][]uint64),
		cleared:  make(map[uint64]time.Time),
	}
}

// HasSuspect reports whether a suspect has this service and target. If not, the caller needs
// no fingerprint. The call takes 4 ns if there are no suspects, and 28 ns if there are only
// others.
func (t *Table) HasSuspect(service, target string) bool {
	if t.count.Load() == 0 {
		return false
	}
	key := Target(service, target)
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.targets[key] > 0
}

// RefusedUntil returns the time until which a request is refused, or the zero time if it is
// not refused.
func (t *Table) RefusedUntil(now time.Time, f Fingerprint) time.Time {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.refusedUntil(now, f)
}

func (t *Table) refusedUntil(now time.Time, f Fingerprint) time.Time {
	s := t.suspects[f.Content]
	if s == nil {
		return time.Time{}
	}
	until := later(t.quarantineEnd(s, s.ofCaller(f.Caller), s.ledBy), t.anyCallerUntil(now, s))
	if !now.Before(until) {
		return time.Time{}
	}
	return until
}

// anyCallerUntil returns the time until which a request is refused whoever sends it. It may be in
// the past.
func (t *Table) anyCallerUntil(now time.Time, s *suspect) time.Time {
	if len(s.since) < MinCrashes || now.Sub(s.since[0].EndedAt) < minUnanswered {
		return time.Time{}
	}
	return t.quarantineEnd(s, s.unanswered(), func(other *suspect) bool {
		return s.ledOrTiedBy(other) || t.isCauseApartFrom(other, s) && !t.isCauseApartFrom(s, other)
	})
}

// isCauseApartFrom reports whether a suspect has enough crashes for a quarantine at which the other one was
// not in flight, nor any that leads it.
func (t *Table) isCauseApartFrom(s, other *suspect) bool {
	if len(s.since) < MinCrashes {
		return false
	}
	crashes := filter(s.since, func(c Crash) bool { return !other.wasAt(c) })
	return len(t.unexplained(crashes, func(third *suspect) bool { return third != s && third.leads(s) })) >= MinCrashes
}

// quarantineEnd returns the time until which a request with these crashes is refused, or the zero
// time if they don't show that the request is the cause. ExplainedBy reports whether a suspect that
// was in flight at a crash explains it.
func (t *Table) quarantineEnd(s *suspect, crashes []Crash, explainedBy func(*suspect) bool) time.Time {
	if len(distinct(crashes)) < MinCrashes {
		return time.Time{}
	}
	crashes = t.unexplained(crashes, func(other *suspect) bool { return other != s && explainedBy(other) })
	if len(distinct(crashes)) < MinCrashes || !sentAfterCrash(crashes) {
		return time.Time{}
	}
	return crashes[len(crashes)-1].EndedAt.Add(quarantineDuration(crashes))
}

// unexplained returns the crashes that no suspect explains which was in flight there.
func (t *Table) unexplained(crashes []Crash, explains func(*suspect) bool) []Crash {
	return filter(crashes, func(c Crash) bool {
		return !slices.ContainsFunc(t.contents[c.Upstream], func(content uint64) bool {
			other := t.suspects[content]
			return other != nil && explains(other) && other.wasAt(c)
		})
	})
}

// CrashCount returns the number of crashes that are known under a request of its caller.
func (t *Table) CrashCount(f Fingerprint) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s := t.suspects[f.Content]
	if s == nil {
		return 0
	}
	return len(distinct(s.ofCaller(f.Caller)))
}

// CrashesSinceAnswer returns the number of crashes that are known under requests of any caller with
// the same content, since one of them was last answered.
func (t *Table) CrashesSinceAnswer(f Fingerprint) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s := t.suspects[f.Content]
	if s == nil {
		return 0
	}
	return len(s.since)
}

// RecordResult is the result of recording a crash.
type RecordResult struct {
	// New is true if the crash was not known.
	New bool
	// RefusedUntil is the time until which the request is refused; zero if it is not refused.
	RefusedUntil time.Time
	// NewlyRefused is true if the request is refused because of this report.
	NewlyRefused bool
	// Crashes is the number of crashes that are known under the request.
	Crashes int
}

// RecordCrash records a crash.
func (t *Table) RecordCrash(now time.Time, c Crash) RecordResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if answered, ok := t.cleared[c.Request.Caller]; ok && !c.EndedAt.After(answered) {
		return RecordResult{}
	}
	s := t.suspects[c.Request.Content]
	if s == nil {
		s = t.add(c.Request)
	}
	before := t.refusedUntil(now, c.Request)
	isNew := s.add(c)
	if isNew {
		t.index(c)
	}
	after := t.refusedUntil(now, c.Request)
	return RecordResult{New: isNew, RefusedUntil: after, NewlyRefused: before.IsZero() && !after.IsZero(), Crashes: len(distinct(s.crashes))}
}

// RecordAnswer records that a request was answered by an upstream that still runs. It reports
// whether to notify the other hosts, and whether the request was refused until now.
func (t *Table) RecordAnswer(now time.Time, f Fingerprint) (notify, lifted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[f.Content]
	if s == nil {
		return false, false
	}
	lifted = !t.refusedUntil(now, f).IsZero()
	ofCaller := len(s.ofCaller(f.Caller))
	if ofCaller > 0 {
		t.clear(now, f)
	}
	notify = len(s.since) > 0 || ofCaller > 0 || now.Sub(s.answered) >= answeredInterval
	s.answered = now
	s.reported = false
	s.crashes = slices.DeleteFunc(s.crashes, func(c Crash) bool { return c.Request.Caller == f.Caller })
	s.updateSince()
	if len(s.crashes) == 0 {
		t.remove(f.Content)
	}
	return notify, lifted
}

// clear records that the request of a caller was answered after crashes.
func (t *Table) clear(now time.Time, f Fingerprint) {
	if len(t.cleared) >= maxSuspects {
		maps.DeleteFunc(t.cleared, func(_ uint64, at time.Time) bool { return now.Sub(at) > 2*RebroadcastPeriod })
	}
	if len(t.cleared) < maxSuspects {
		t.cleared[f.Caller] = now
	}
}

// Begun returns the requests that are refused whoever sends them and that no earlier call returned.
// Unlike the refusal for one caller, that may begin some time after the last crash.
func (t *Table) Begun(now time.Time) []Quarantine {
	if t.count.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Quarantine
	for _, s := range t.suspects {
		until := t.anyCallerUntil(now, s)
		if s.reported || !now.Before(until) {
			continue
		}
		s.reported = true
		out = append(out, Quarantine{Request: s.request, Until: until, Crashes: len(s.since)})
	}
	return out
}

// Quarantine is a request that is refused.
type Quarantine struct {
	// Request is the request of one of its callers.
	Request Fingerprint
	// Until is the time until which it is refused.
	Until time.Time
	// Crashes is the number of upstreams that crashed under it.
	Crashes int
}

// RecentCrashes returns the crashes to rebroadcast: those under requests that are refused, and
// those within the given time.
func (t *Table) RecentCrashes(now time.Time, within time.Duration) []Crash {
	if t.count.Load() == 0 {
		return nil
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []Crash
	for _, s := range t.suspects {
		for _, c := range s.crashes {
			if now.Sub(c.EndedAt) < within || !t.refusedUntil(now, c.Request).IsZero() {
				out = append(out, c)
			}
		}
	}
	return out
}

// add adds a suspect. If the table is full, it replaces the oldest one.
func (t *Table) add(f Fingerprint) *suspect {
	if len(t.suspects) >= maxSuspects {
		t.remove(t.oldest())
	}
	s := &suspect{request: f}
	t.suspects[f.Content] = s
	t.targets[f.Target]++
	t.count.Store(int64(len(t.suspects)))
	return s
}

func (t *Table) remove(content uint64) {
	s := t.suspects[content]
	delete(t.suspects, content)
	if t.targets[s.request.Target]--; t.targets[s.request.Target] == 0 {
		delete(t.targets, s.request.Target)
	}
	t.count.Store(int64(len(t.suspects)))
}

// oldest returns the content of the suspect with the oldest last crash.
func (t *Table) oldest() uint64 {
	var content uint64
	var at time.Time
	for c, s := range t.suspects {
		if last := s.last(); at.IsZero() || last.Before(at) {
			content, at = c, last
		}
	}
	return content
}

// expire removes expired suspects. A request that was refused is remembered for the duration
// of its quarantine once more, in which the next crash renews the quarantine.
func (t *Table) expire(now time.Time) {
	if now.Sub(t.expired) < expireInterval {
		return
	}
	t.expired = now
	for content, s := range t.suspects {
		if now.Sub(s.last()) > crashRetention && now.Sub(s.last()) > 2*quarantineDuration(s.crashes) {
			t.remove(content)
		}
	}
	clear(t.contents)
	for _, s := range t.suspects {
		for _, c := range s.crashes {
			t.index(c)
		}
	}
}

// index records that an upstream crashed under a request.
func (t *Table) index(c Crash) {
	list := t.contents[c.Upstream]
	if slices.Contains(list, c.Request.Content) {
		return
	}
	list = append(list, c.Request.Content)
	t.contents[c.Upstream] = list[max(0, len(list)-maxContents):]
}

// add inserts a crash in order, and reports whether it was not known.
func (s *suspect) add(c Crash) bool {
	if slices.ContainsFunc(s.crashes, func(known Crash) bool {
		return known.Request.Caller == c.Request.Caller && sameCrash(known, c)
	}) {
		return false
	}
	s.crashes = append(s.crashes, c)
	slices.SortStableFunc(s.crashes, func(a, b Crash) int { return a.EndedAt.Compare(b.EndedAt) })
	if len(s.crashes) > maxCrashes { // the first crashes show the cause, the last ones the duration
		s.crashes = slices.Delete(s.crashes, maxCrashes/2, maxCrashes/2+1)
	}
	s.updateSince()
	return true
}

func (s *suspect) updateSince() { s.since = distinct(s.unanswered()) }

// leads reports whether a suspect reached the number of crashes for a quarantine before another one.
// If both reached it with the same crash, the first one to go on leads. Later crashes don't
// matter: a request that is refused causes no more.
func (s *suspect) leads(other *suspect) bool {
	for i := MinCrashes - 1; i < len(s.since); i++ {
		if i >= len(other.since) {
			return true
		}
		if !sameCrash(s.since[i], other.since[i]) {
			return s.since[i].EndedAt.Before(other.since[i].EndedAt)
		}
	}
	return false
}

func (s *suspect) ledBy(other *suspect) bool { return other.leads(s) }

// ledOrTiedBy is ledBy for the refusal to all callers, which prevents any answer that would tell two
// requests apart.
func (s *suspect) ledOrTiedBy(other *suspect) bool {
	tied := len(other.since) >= MinCrashes && len(s.since) < minTiedCrashes && !s.leads(other)
	return tied || other.leads(s)
}

// wasAt reports whether the request was in flight at the upstream of a crash.
func (s *suspect) wasAt(c Crash) bool {
	return slices.ContainsFunc(s.crashes, func(own Crash) bool { return sameCrash(own, c) })
}

// ofCaller returns the crashes under the request of one caller.
func (s *suspect) ofCaller(caller uint64) []Crash {
	return filter(s.crashes, func(c Crash) bool { return c.Request.Caller == caller })
}

// unanswered returns the crashes since the request was last answered, for any caller.
func (s *suspect) unanswered() []Crash {
	return filter(s.crashes, func(c Crash) bool { return c.EndedAt.After(s.answered) })
}

// last returns when an upstream last crashed under the request.
func (s *suspect) last() time.Time {
	if len(s.crashes) == 0 {
		return s.answered
	}
	return s.crashes[len(s.crashes)-1].EndedAt
}

func filter(crashes []Crash, keep func(Crash) bool) []Crash {
	var out []Crash
	for _, c := range crashes {
		if keep(c) {
			out = append(out, c)
		}
	}
	return out
}

// sameCrash reports whether two reports are of one crash of an upstream, at which several
// requests were in flight.
func sameCrash(a, b Crash) bool {
	return a.Upstream == b.Upstream && a.EndedAt.Sub(b.EndedAt).Abs() < sameCrashWindow
}

// distinct returns one report of each crash.
func distinct(crashes []Crash) []Crash {
	var out []Crash
	for _, c := range crashes {
		if !slices.ContainsFunc(out, func(known Crash) bool { return sameCrash(known, c) }) {
			out = append(out, c)
		}
	}
	return out
}

// sentAfterCrash reports whether an upstream was sent the request after another had crashed
// under it. That is not the case for upstreams that are lost with their failure domain.
func sentAfterCrash(crashes []Crash) bool {
	for i, first := range crashes {
		if slices.ContainsFunc(crashes[i+1:], first.precedes) {
			return true
		}
	}
	return false
}

// precedes reports whether an upstream had crashed when the request was sent to the next.
func (c Crash) precedes(next Crash) bool {
	slack := killSlack
	if next.Host != c.Host {
		slack = hostSlack
	}
	return next.SentAt.Sub(c.EndedAt) >= slack
}

// quarantineDuration returns how long a request with these crashes is refused. It grows with
// each crash after a quarantine.
func quarantineDuration(crashes []Crash) time.Duration {
	out := initialQuarantine
	for i := 1; i < len(crashes) && out < maxQuarantine; i++ {
		if crashes[i].EndedAt.Sub(crashes[i-1].EndedAt) >= initialQuarantine {
			out *= quarantineGrowth
		}
	}
	return min(out, maxQuarantine)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
