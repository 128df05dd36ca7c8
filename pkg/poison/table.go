package poison

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Crash is the end of an upstream while it ran a request.
type Crash struct {
	// Request is what it ran.
	Request Fingerprint
	// Upstream names it, and Host the entry host that saw it: the same on all hosts.
	Upstream, Host uint64
	// SentAt is when the request was sent, and EndedAt when the connection ended, by the
	// clock of the host that holds this value.
	SentAt, EndedAt time.Time
}

const (
	// minEnds is how many upstreams have to end under a request before it is refused.
	// One or two end under many that were merely there: of 32 such requests of one
	// incident four had lost two sends.
	minEnds = 3
	// minEndsOfAll, minCallers and minSpan are what it takes to refuse a request whoever
	// asks. A page that many callers ask for is in flight at most upstreams at any time, so
	// that three ends under another request may meet it: with a bound of three ends and two
	// callers, one of seven such pages was refused in a simulated incident. Within half a
	// second and five ends it is answered somewhere.
	minEndsOfAll = 5
	minCallers   = 3
	minSpan      = 500 * time.Millisecond
	// quarantine is how long a request is refused after the last end, at first. Each
	// time that an upstream ends under it afterwards, it is quarantineGrowth times as
	// long: one that stays deadly ends 3 upstreams at once and 4 more within a day.
	quarantine       = 5 * time.Minute
	quarantineGrowth = 4
	maxQuarantine    = 24 * time.Hour
	// keepFor is how long an end without a quarantine is remembered.
	keepFor = 30 * time.Minute
	// sameEnd is the longest time between two reports of one end of an upstream: one
	// that starts again under its id takes longer to be back and to end once more.
	sameEnd = time.Second
	// killSlack is how long it takes to kill many upstreams together: what is sent again
	// meanwhile may meet the next one. The ends that two hosts saw differ by hostSlack
	// too, which is what a report's way and a busy host may add.
	killSlack = 10 * time.Millisecond
	hostSlack = 50 * time.Millisecond
	// maxSuspects bounds the requests remembered, and maxDeaths the ends of each: by the
	// size of a Crash, 88 bytes, 1.4 MB together.
	maxSuspects = 1024
	maxDeaths   = 16
	// expireEvery is how often what is long ago is looked for.
	expireEvery = time.Minute
	// answeredEvery is how often the others are told again that a suspect was answered.
	answeredEvery = time.Second
)

// suspect is a request under which upstreams ended.
type suspect struct {
	target uint64
	deaths []Crash // the oldest end first
	// answered is when it was last answered, whoever asked.
	answered time.Time
}

// Table remembers under which requests upstreams ended, here or at other hosts, and
// says which requests are refused for it. A request is refused if three upstreams ended
// under it, at least one of them was sent it after another had ended, and it was not
// answered meanwhile. So upstreams that end together for a reason of their own get no
// request refused, and neither does a request that was merely there a few times.
//
// What counts is the request of one caller. The requests of other callers with the same
// content are refused too after five ends over half a second under those of three callers,
// of which none was answered: then it is not the caller that matters.
type Table struct {
	count atomic.Int64 // of suspects, so that the usual case takes no lock

	mu       sync.RWMutex
	suspects map[uint64]*suspect // by content
	targets  map[uint64]int      // how many suspects have a target
	expired  time.Time           // when expire last looked
}

// NewTable returns a table without suspects.
func NewTable() *Table {
	return &Table{suspects: make(map[uint64]*suspect), targets: make(map[uint64]int)}
}

// HasSuspect reports whether some request with this service and target is remembered. Of one
// that is not, no fingerprint is needed: where nothing is remembered, asking costs 4 ns, and
// 28 ns where others are.
func (t *Table) HasSuspect(service, target string) bool {
	if t.count.Load() == 0 {
		return false
	}
	key := Target(service, target)
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.targets[key] > 0
}

// RefusedUntil returns until when a request is refused; the zero time if it is not.
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
	until := refusedUntil(s.of(f.Caller), minEnds)
	if all := s.unanswered(); whoeverAsks(all) {
		until = later(until, refusedUntil(all, minEndsOfAll))
	}
	if !now.Before(until) {
		return time.Time{}
	}
	return until
}

// CrashCount returns how many upstreams are known to have ended under a request of its caller.
func (t *Table) CrashCount(f Fingerprint) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s := t.suspects[f.Content]
	if s == nil {
		return 0
	}
	return len(ends(s.of(f.Caller)))
}

// RecordResult says what a report changed.
type RecordResult struct {
	// New is true for an end that was not known.
	New bool
	// RefusedUntil is until when its request is refused; zero if it is not.
	RefusedUntil time.Time
	// NewlyRefused is true if that is due to this report.
	NewlyRefused bool
	// Crashes is the number of ends known under the request.
	Crashes int
}

// RecordCrash takes in an end.
func (t *Table) RecordCrash(now time.Time, d Crash) RecordResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	s := t.suspects[d.Request.Content]
	if s == nil {
		s = t.add(d.Request)
	}
	before := t.refusedUntil(now, d.Request)
	isNew := s.add(d)
	after := t.refusedUntil(now, d.Request)
	return RecordResult{New: isNew, RefusedUntil: after, NewlyRefused: before.IsZero() && !after.IsZero(), Crashes: len(ends(s.deaths))}
}

// RecordAnswer takes in that a request was answered by an upstream that still runs. It
// reports whether the other hosts should know, and whether it was refused until now.
func (t *Table) RecordAnswer(now time.Time, f Fingerprint) (tell, lifted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[f.Content]
	if s == nil {
		return false, false
	}
	lifted = !t.refusedUntil(now, f).IsZero()
	mine := len(s.of(f.Caller))
	tell = mine > 0 || now.Sub(s.answered) >= answeredEvery
	s.answered = now
	s.deaths = slices.DeleteFunc(s.deaths, func(d Crash) bool { return d.Request.Caller == f.Caller })
	if len(s.deaths) == 0 {
		t.remove(f.Content)
	}
	return tell, lifted
}

// RecentCrashes returns the ends that a host which missed them should hear of: those under
// requests that are refused, and those of the last moments.
func (t *Table) RecentCrashes(now time.Time, within time.Duration) []Crash {
	if t.count.Load() == 0 {
		return nil
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []Crash
	for _, s := range t.suspects {
		for _, d := range s.deaths {
			if now.Sub(d.EndedAt) < within || !t.refusedUntil(now, d.Request).IsZero() {
				out = append(out, d)
			}
		}
	}
	return out
}

// add makes room for a suspect.
func (t *Table) add(f Fingerprint) *suspect {
	if len(t.suspects) >= maxSuspects {
		t.remove(t.oldest())
	}
	s := &suspect{target: f.Target}
	t.suspects[f.Content] = s
	t.targets[f.Target]++
	t.count.Store(int64(len(t.suspects)))
	return s
}

func (t *Table) remove(content uint64) {
	s := t.suspects[content]
	delete(t.suspects, content)
	if t.targets[s.target]--; t.targets[s.target] == 0 {
		delete(t.targets, s.target)
	}
	t.count.Store(int64(len(t.suspects)))
}

// oldest returns the suspect whose last end is the longest ago.
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

// expire forgets what is long ago. One that was refused is remembered for as long again:
// the next end renews its quarantine.
func (t *Table) expire(now time.Time) {
	if now.Sub(t.expired) < expireEvery {
		return
	}
	t.expired = now
	for content, s := range t.suspects {
		if now.Sub(s.last()) > keepFor && now.Sub(s.last()) > 2*length(s.deaths) {
			t.remove(content)
		}
	}
}

// add takes in an end in its order, and reports whether it was not known.
func (s *suspect) add(d Crash) bool {
	if slices.ContainsFunc(s.deaths, func(known Crash) bool {
		return known.Request.Caller == d.Request.Caller && same(known, d)
	}) {
		return false
	}
	s.deaths = append(s.deaths, d)
	slices.SortStableFunc(s.deaths, func(a, b Crash) int { return a.EndedAt.Compare(b.EndedAt) })
	s.deaths = s.deaths[max(0, len(s.deaths)-maxDeaths):]
	return true
}

// of returns the ends under the request of one caller.
func (s *suspect) of(caller uint64) []Crash {
	return filter(s.deaths, func(d Crash) bool { return d.Request.Caller == caller })
}

// unanswered returns the ends since the request was last answered to anyone.
func (s *suspect) unanswered() []Crash {
	return filter(s.deaths, func(d Crash) bool { return d.EndedAt.After(s.answered) })
}

// last returns when an upstream last ended under it.
func (s *suspect) last() time.Time {
	if len(s.deaths) == 0 {
		return s.answered
	}
	return s.deaths[len(s.deaths)-1].EndedAt
}

func filter(deaths []Crash, keep func(Crash) bool) []Crash {
	var out []Crash
	for _, d := range deaths {
		if keep(d) {
			out = append(out, d)
		}
	}
	return out
}

// whoeverAsks reports whether ends under the requests of several callers show that the
// caller does not matter.
func whoeverAsks(deaths []Crash) bool {
	if len(deaths) < minEndsOfAll || deaths[len(deaths)-1].EndedAt.Sub(deaths[0].EndedAt) < minSpan {
		return false
	}
	callers := make(map[uint64]bool)
	for _, d := range deaths {
		callers[d.Request.Caller] = true
	}
	return len(callers) >= minCallers
}

// same reports whether two reports are of one end: several requests ran there.
func same(a, b Crash) bool {
	return a.Upstream == b.Upstream && a.EndedAt.Sub(b.EndedAt).Abs() < sameEnd
}

// ends returns one report of each end.
func ends(deaths []Crash) []Crash {
	var out []Crash
	for _, d := range deaths {
		if !slices.ContainsFunc(out, func(known Crash) bool { return same(known, d) }) {
			out = append(out, d)
		}
	}
	return out
}

// refusedUntil returns until when a request with these ends is refused; the zero time if
// they prove nothing.
func refusedUntil(deaths []Crash, least int) time.Time {
	if len(deaths) < least || len(ends(deaths)) < least || !followed(deaths) {
		return time.Time{}
	}
	return deaths[len(deaths)-1].EndedAt.Add(length(deaths))
}

// followed reports whether an upstream was sent the request after another had ended
// under it. Upstreams that a failure domain takes with it end without that.
func followed(deaths []Crash) bool {
	for i, first := range deaths {
		if slices.ContainsFunc(deaths[i+1:], first.before) {
			return true
		}
	}
	return false
}

// before reports whether an upstream had ended when the request of the next was sent.
func (d Crash) before(next Crash) bool {
	slack := killSlack
	if next.Host != d.Host {
		slack = hostSlack
	}
	return next.SentAt.Sub(d.EndedAt) >= slack
}

// length returns how long a request with these ends is refused: longer for each time
// that one ended after a quarantine.
func length(deaths []Crash) time.Duration {
	out := quarantine
	for i := 1; i < len(deaths) && out < maxQuarantine; i++ {
		if deaths[i].EndedAt.Sub(deaths[i-1].EndedAt) >= quarantine {
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
