package ratelimit

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/timeslot"
)

func Example() {
	now := time.Unix(1000, 0)
	s := NewState("i-1", 0, timeslot.Single())
	word, err := Parse("2")
	if err != nil {
		return
	}
	s.Observe(now, now, word, Answer)
	fmt.Println(s.Take(now), s.Take(now), s.Delay(now))
	fmt.Println(s.Take(now.Add(500 * time.Millisecond)))
	// Output:
	// true false 500ms
	// true
}

func named(perSecond float64) Limit { return Limit{Limited, perSecond} }

var unlimited = Limit{Kind: Unlimited}

// alone returns the state of a host without a fleet that has just heard a limit.
func alone(perSecond float64) *State {
	s := NewState("i-1", 0, timeslot.Single())
	s.Observe(epoch, epoch, named(perSecond), Answer)
	return s
}

func TestNoStateIsNoLimit(t *testing.T) {
	is := is.New(t)
	for _, s := range []*State{nil, NewState("i-1", 0, timeslot.Single())} {
		is.True(s.Open(epoch))
		is.True(s.Take(epoch))
		is.Equal(s.Delay(epoch), time.Duration(0))
		is.True(!s.Limited())
		is.True(!s.Unconfirmed(epoch))
		is.True(math.IsInf(s.HostRate(), 1))
		is.True(!s.Observe(epoch, epoch, unlimited, Answer))
	}
}

// TestEndOfALimit: an answer to a request that was sent before the limit was known may be
// older than it, and upstreams may name limits in answers of one kind only.
func TestEndOfALimit(t *testing.T) {
	later := epoch.Add(time.Second)
	for name, test := range map[string]struct {
		heard []Source
		sent  time.Time
		word  Limit
		from  Source
		ends  bool
	}{
		"answer":                           {[]Source{Answer}, epoch, unlimited, Answer, true},
		"answer to an earlier request":     {[]Source{Answer}, epoch.Add(-1), unlimited, Answer, false},
		"says nothing":                     {[]Source{Answer}, epoch, Limit{}, Answer, false},
		"probes never named it":            {[]Source{Answer}, epoch, unlimited, Probe, false},
		"a probe named it too":             {[]Source{Answer, Probe}, epoch, unlimited, Probe, true},
		"answers never named it":           {[]Source{Probe}, epoch, unlimited, Answer, false},
		"both named it":                    {[]Source{Probe, Answer}, epoch, unlimited, Answer, true},
		"a peer told, an answer ends it":   {[]Source{Peer}, epoch, unlimited, Answer, true},
		"a peer told, a probe says little": {[]Source{Peer}, epoch, unlimited, Probe, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := NewState("i-1", 0, timeslot.Single())
			for _, from := range test.heard {
				if from == Peer {
					s.ApplyPeerUpdate(epoch, Update{PerSecond: 2})
					continue
				}
				s.Observe(epoch, epoch, named(2), from)
			}
			is.True(s.Limited())
			is.Equal(s.Observe(later, test.sent, test.word, test.from), test.ends)
			is.Equal(s.Limited(), !test.ends)
		})
	}
}

// TestSourcesOutliveChanges: who named a limit is known after it names another one.
func TestSourcesOutliveChanges(t *testing.T) {
	is := is.New(t)
	s := NewState("i-1", 0, timeslot.Single())
	s.Observe(epoch, epoch, named(2), Probe)
	is.True(s.Observe(epoch, epoch, named(3), Probe))
	is.True(!s.Observe(epoch, epoch, unlimited, Answer))
	is.True(s.Observe(epoch, epoch, unlimited, Probe))
}

func TestNewestWordCounts(t *testing.T) {
	is := is.New(t)
	s := alone(2)
	is.True(!s.ApplyPeerUpdate(epoch.Add(time.Second), Update{Ended: true, Age: 1500 * time.Millisecond})) // older
	is.True(!s.ApplyPeerUpdate(epoch.Add(time.Second), Update{PerSecond: 5, Age: time.Second}))            // as old
	is.True(s.ApplyPeerUpdate(epoch.Add(time.Second), Update{PerSecond: 5, Age: 900 * time.Millisecond}))
	is.Equal(s.Limit(), named(5))
	is.True(s.ApplyPeerUpdate(epoch.Add(2*time.Second), Update{Ended: true}))
	is.True(!s.ApplyPeerUpdate(epoch.Add(3*time.Second), Update{PerSecond: 5, Age: 1500 * time.Millisecond})) // before the end
	is.True(!s.Limited())
	is.True(s.ApplyPeerUpdate(epoch.Add(3*time.Second), Update{PerSecond: 5, Age: 500 * time.Millisecond}))
}

func TestNewsAreToldForAWhile(t *testing.T) {
	is := is.New(t)
	s := alone(2)
	news, ok := s.Update(epoch.Add(time.Second))
	is.True(ok)
	is.Equal(news, Update{Server: ServerOf("i-1", 0), PerSecond: 2, Age: time.Second})
	s.Observe(epoch.Add(2*time.Second), epoch.Add(time.Second), unlimited, Answer)
	news, ok = s.Update(epoch.Add(3 * time.Second))
	is.True(ok)
	is.Equal(news, Update{Server: ServerOf("i-1", 0), Ended: true, Age: time.Second})
	_, ok = s.Update(epoch.Add(2*time.Second + EndAnnouncePeriod))
	is.True(!ok)
}

// TestTurnsAreNotSavedUp: a host that was idle for long has the turns of the time that they
// are kept.
func TestTurnsAreNotSavedUp(t *testing.T) {
	is := is.New(t)
	s := alone(10)
	at := epoch.Add(time.Minute)
	n := 0
	for s.Take(at) {
		n++
	}
	is.True(n == int(10*SlotValidity.Seconds()) || n == int(10*SlotValidity.Seconds())+1)
	left := s.Delay(at)
	is.True(left > 0 && left <= 100*time.Millisecond)
	is.True(!s.Open(at.Add(left - time.Microsecond)))
	is.True(s.Open(at.Add(left + time.Microsecond)))
}

// TestChangesVoidTurns: another limit numbers the slots anew, and so does another place; what
// was a host's turn before may have been used by another one.
func TestChangesVoidTurns(t *testing.T) {
	is := is.New(t)
	s := alone(10)
	at := epoch.Add(time.Minute + 10*time.Millisecond)
	is.True(s.Open(at))
	s.Observe(at, at, named(7.5), Answer)
	is.True(!s.Open(at))
	is.True(s.Delay(at) < time.Second/7)

	s = alone(10)
	s.turns.Set(at, timeslot.Position{Self: 1, Hosts: 2})
	is.True(!s.Open(at))
	is.True(s.Delay(at) <= 2*time.Second/10)
}

// TestLimitOfNothing: an upstream that takes nothing is tried now and then.
func TestLimitOfNothing(t *testing.T) {
	is := is.New(t)
	s := alone(0)
	n := 0
	for at := epoch; at.Before(epoch.Add(time.Minute)); at = at.Add(10 * time.Millisecond) {
		if s.Take(at) {
			n++
		}
	}
	is.Equal(n, int(MinPerSecond*60))
}

func TestUnconfirmed(t *testing.T) {
	is := is.New(t)
	s := alone(2)
	is.True(!s.Unconfirmed(epoch.Add(ConfirmInterval)))
	is.True(s.Unconfirmed(epoch.Add(ConfirmInterval + 1)))
	s.Observe(epoch.Add(ConfirmInterval), epoch, named(2), Answer)
	is.True(!s.Unconfirmed(epoch.Add(ConfirmInterval + 1)))
}

// TestConcurrentTakes: of many goroutines that take a turn at the same time, one gets it.
func TestConcurrentTakes(t *testing.T) {
	is := is.New(t)
	s := alone(1)
	at := epoch.Add(s.Delay(epoch))
	took := make(chan bool)
	const goroutines = 32
	for range goroutines {
		go func() { took <- s.Take(at) }()
	}
	n := 0
	for range goroutines {
		if <-took {
			n++
		}
	}
	is.Equal(n, 1)
}

func TestBook(t *testing.T) {
	is := is.New(t)
	b := NewRegistry(timeslot.Single())
	s := b.Acquire("i-1", 0)
	is.Equal(b.Acquire("i-1", 0), s)
	is.True(b.Acquire("i-1", 7) != s) // another start
	is.True(!b.Limited("i-1"))
	changed := b.ApplyPeerUpdates(epoch, []Update{{Server: ServerOf("i-1", 0), PerSecond: 2}, {Server: ServerOf("i-2", 0), PerSecond: 2}})
	is.Equal(changed, []*State{s})
	is.True(b.Limited("i-1"))
	is.Equal(len(b.Updates(epoch)), 1)
	s.Observe(epoch.Add(time.Second), epoch, unlimited, Answer)
	is.Equal(len(b.Updates(epoch.Add(2*time.Second))), 1) // the end
	is.Equal(len(b.Updates(epoch.Add(time.Second+EndAnnouncePeriod))), 0)
	s.Observe(epoch.Add(time.Second), epoch, named(2), Answer)
	b.Release(epoch, s)
	b.Tick(epoch.Add(keepReleased))
	is.Equal(b.Len(), 2) // one record is left
	b.Release(epoch, s)
	b.Tick(epoch.Add(keepReleased - 1))
	is.Equal(b.Acquire("i-1", 0), s)
	is.True(b.AnyLimited())
	b.Release(epoch, s)
	b.Tick(epoch.Add(keepReleased))
	is.Equal(b.Len(), 1)
	is.True(!b.AnyLimited())
}

func TestValidate(t *testing.T) {
	is := is.New(t)
	for _, n := range []Update{{PerSecond: -1}, {PerSecond: math.NaN()}, {PerSecond: math.Inf(1)}, {Age: -1}, {Age: maxAge + 1}} {
		is.True(n.Validate() != nil)
	}
	ok := Update{PerSecond: 1.2, Age: time.Second}
	is.NoErr(ok.Validate())
}

// BenchmarkOpen is what a choice pays for each upstream that it looks at.
func BenchmarkOpen(b *testing.B) {
	fleet := timeslot.New("10.0.0.1")
	fleet.Set(epoch, timeslot.Position{Self: 3, Hosts: 18})
	for name, s := range map[string]*State{"unlimited": NewState("i-1", 0, fleet), "limited": NewState("i-2", 0, fleet)} {
		b.Run(name, func(b *testing.B) {
			if name == "limited" {
				s.Observe(epoch, epoch, named(1.2), Answer)
			}
			now := epoch.Add(time.Second)
			b.ReportAllocs()
			for b.Loop() {
				s.Open(now)
			}
		})
	}
}
