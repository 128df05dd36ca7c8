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
	l, err := Parse("2")
	if err != nil {
		return
	}
	s.Observe(now, now, l, Answer)
	fmt.Println(s.Take(now), s.Take(now), s.Delay(now))
	fmt.Println(s.Take(now.Add(500 * time.Millisecond)))
	// Output:
	// true false 500ms
	// true
}

func limited(perSecond float64) Limit { return Limit{Limited, perSecond} }

var unlimited = Limit{Kind: Unlimited}

// singleHost returns the state of a host without a fleet that has just observed a limit.
func singleHost(perSecond float64) *State {
	s := NewState("i-1", 0, timeslot.Single())
	s.Observe(epoch, epoch, limited(perSecond), Answer)
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

// TestEndOfALimit checks which responses end a limit. The response to a request that was sent
// before the limit was known may be older than the limit, and some upstreams announce limits
// only in responses to requests or only in those to probes.
func TestEndOfALimit(t *testing.T) {
	later := epoch.Add(time.Second)
	for name, test := range map[string]struct {
		announcedBy []Source
		sent        time.Time
		limit       Limit
		from        Source
		ends        bool
	}{
		"response":                                      {[]Source{Answer}, epoch, unlimited, Answer, true},
		"response to an earlier request":                {[]Source{Answer}, epoch.Add(-1), unlimited, Answer, false},
		"unspecified":                                   {[]Source{Answer}, epoch, Limit{}, Answer, false},
		"probes never announced it":                     {[]Source{Answer}, epoch, unlimited, Probe, false},
		"a probe announced it too":                      {[]Source{Answer, Probe}, epoch, unlimited, Probe, true},
		"responses never announced it":                  {[]Source{Probe}, epoch, unlimited, Answer, false},
		"both announced it":                             {[]Source{Probe, Answer}, epoch, unlimited, Answer, true},
		"a peer sent it, a response ends it":            {[]Source{Peer}, epoch, unlimited, Answer, true},
		"a peer sent it, a probe alone does not end it": {[]Source{Peer}, epoch, unlimited, Probe, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := NewState("i-1", 0, timeslot.Single())
			for _, from := range test.announcedBy {
				if from == Peer {
					s.ApplyPeerUpdate(epoch, Update{PerSecond: 2})
					continue
				}
				s.Observe(epoch, epoch, limited(2), from)
			}
			is.True(s.Limited())
			is.Equal(s.Observe(later, test.sent, test.limit, test.from), test.ends)
			is.Equal(s.Limited(), !test.ends)
		})
	}
}

// TestSourcesAreKeptWhenTheLimitChanges checks that the kinds of responses which announce a
// limit are still known after the upstream announces another one.
func TestSourcesAreKeptWhenTheLimitChanges(t *testing.T) {
	is := is.New(t)
	s := NewState("i-1", 0, timeslot.Single())
	s.Observe(epoch, epoch, limited(2), Probe)
	is.True(s.Observe(epoch, epoch, limited(3), Probe))
	is.True(!s.Observe(epoch, epoch, unlimited, Answer))
	is.True(s.Observe(epoch, epoch, unlimited, Probe))
}

func TestNewestUpdateCounts(t *testing.T) {
	is := is.New(t)
	s := singleHost(2)
	is.True(!s.ApplyPeerUpdate(epoch.Add(time.Second), Update{Ended: true, Age: 1500 * time.Millisecond})) // older
	is.True(!s.ApplyPeerUpdate(epoch.Add(time.Second), Update{PerSecond: 5, Age: time.Second}))            // same age
	is.True(s.ApplyPeerUpdate(epoch.Add(time.Second), Update{PerSecond: 5, Age: 900 * time.Millisecond}))
	is.Equal(s.Limit(), limited(5))
	is.True(s.ApplyPeerUpdate(epoch.Add(2*time.Second), Update{Ended: true}))
	is.True(!s.ApplyPeerUpdate(epoch.Add(3*time.Second), Update{PerSecond: 5, Age: 1500 * time.Millisecond})) // before the end
	is.True(!s.Limited())
	is.True(s.ApplyPeerUpdate(epoch.Add(3*time.Second), Update{PerSecond: 5, Age: 500 * time.Millisecond}))
}

func TestUpdatesAreSentForAWhile(t *testing.T) {
	is := is.New(t)
	s := singleHost(2)
	update, ok := s.Update(epoch.Add(time.Second))
	is.True(ok)
	is.Equal(update, Update{Server: ServerOf("i-1", 0), PerSecond: 2, Age: time.Second})
	s.Observe(epoch.Add(2*time.Second), epoch.Add(time.Second), unlimited, Answer)
	update, ok = s.Update(epoch.Add(3 * time.Second))
	is.True(ok)
	is.Equal(update, Update{Server: ServerOf("i-1", 0), Ended: true, Age: time.Second})
	_, ok = s.Update(epoch.Add(2*time.Second + EndAnnouncePeriod))
	is.True(!ok)
}

// TestSlotsExpire checks that a host that was idle for long has only the slots of the last
// SlotValidity.
func TestSlotsExpire(t *testing.T) {
	is := is.New(t)
	s := singleHost(10)
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

// TestChangesVoidSlots checks that a change of the limit or of the position voids earlier slots.
// Both number the slots anew, and another host may have used what was a slot of this one.
func TestChangesVoidSlots(t *testing.T) {
	is := is.New(t)
	s := singleHost(10)
	at := epoch.Add(time.Minute + 10*time.Millisecond)
	is.True(s.Open(at))
	s.Observe(at, at, limited(7.5), Answer)
	is.True(!s.Open(at))
	is.True(s.Delay(at) < time.Second/7)

	s = singleHost(10)
	s.schedule.Set(at, timeslot.Position{Self: 1, Hosts: 2})
	is.True(!s.Open(at))
	is.True(s.Delay(at) <= 2*time.Second/10)
}

// TestLimitOfZero checks that an upstream with a limit of 0 still receives MinPerSecond.
func TestLimitOfZero(t *testing.T) {
	is := is.New(t)
	s := singleHost(0)
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
	s := singleHost(2)
	is.True(!s.Unconfirmed(epoch.Add(ConfirmInterval)))
	is.True(s.Unconfirmed(epoch.Add(ConfirmInterval + 1)))
	s.Observe(epoch.Add(ConfirmInterval), epoch, limited(2), Answer)
	is.True(!s.Unconfirmed(epoch.Add(ConfirmInterval + 1)))
}

// TestConcurrentTakes checks that only one of many goroutines that call Take at the same time
// gets the slot.
func TestConcurrentTakes(t *testing.T) {
	is := is.New(t)
	s := singleHost(1)
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

func TestRegistry(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(timeslot.Single())
	s := r.Acquire("i-1", 0)
	is.Equal(r.Acquire("i-1", 0), s)
	is.True(r.Acquire("i-1", 7) != s) // another start
	is.True(!r.Limited("i-1"))
	changed := r.ApplyPeerUpdates(epoch, []Update{{Server: ServerOf("i-1", 0), PerSecond: 2}, {Server: ServerOf("i-2", 0), PerSecond: 2}})
	is.Equal(changed, []*State{s})
	is.True(r.Limited("i-1"))
	is.Equal(len(r.Updates(epoch)), 1)
	s.Observe(epoch.Add(time.Second), epoch, unlimited, Answer)
	is.Equal(len(r.Updates(epoch.Add(2*time.Second))), 1) // the end
	is.Equal(len(r.Updates(epoch.Add(time.Second+EndAnnouncePeriod))), 0)
	s.Observe(epoch.Add(time.Second), epoch, limited(2), Answer)
	r.Release(epoch, s)
	r.Tick(epoch.Add(releasedRetention))
	is.Equal(r.Len(), 2) // one record is left
	r.Release(epoch, s)
	r.Tick(epoch.Add(releasedRetention - 1))
	is.Equal(r.Acquire("i-1", 0), s)
	is.True(r.AnyLimited())
	r.Release(epoch, s)
	r.Tick(epoch.Add(releasedRetention))
	is.Equal(r.Len(), 1)
	is.True(!r.AnyLimited())
}

func TestValidate(t *testing.T) {
	is := is.New(t)
	for _, n := range []Update{{PerSecond: -1}, {PerSecond: math.NaN()}, {PerSecond: math.Inf(1)}, {Age: -1}, {Age: maxAge + 1}} {
		is.True(n.Validate() != nil)
	}
	ok := Update{PerSecond: 1.2, Age: time.Second}
	is.NoErr(ok.Validate())
}

// BenchmarkOpen measures what the balancer pays for each upstream that it considers.
func BenchmarkOpen(b *testing.B) {
	fleet := timeslot.New("10.0.0.1")
	fleet.Set(epoch, timeslot.Position{Self: 3, Hosts: 18})
	for name, s := range map[string]*State{"unlimited": NewState("i-1", 0, fleet), "limited": NewState("i-2", 0, fleet)} {
		b.Run(name, func(b *testing.B) {
			if name == "limited" {
				s.Observe(epoch, epoch, limited(1.2), Answer)
			}
			now := epoch.Add(time.Second)
			b.ReportAllocs()
			for b.Loop() {
				s.Open(now)
			}
		})
	}
}
