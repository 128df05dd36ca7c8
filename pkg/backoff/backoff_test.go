package backoff_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/backoff"
)

var start = time.Now()

func TestStateRests(t *testing.T) {
	is := is.New(t)
	var s backoff.State
	is.True(s.Open(start, true))
	is.True(s.Try(start))
	is.Equal(s.Delay(start), time.Duration(0))
	until := s.Begin(start, 3*time.Second, 0)
	is.Equal(until, start.Add(3*time.Second))
	for _, at := range []time.Duration{0, time.Second, 3*time.Second - 1} {
		now := start.Add(at)
		is.True(!s.Open(now, false))
		is.True(!s.Try(now))
		is.Equal(s.Delay(now), 3*time.Second-at)
		s.Answered(now) // of a request that was sent before: the upstream still rests
		is.True(!s.Open(now, false))
	}
	is.True(s.Open(until, false))
}

// TestLongestRestCounts: answers to requests that were sent together ask for different
// times, in any order.
func TestLongestRestCounts(t *testing.T) {
	is := is.New(t)
	var s backoff.State
	s.Begin(start, 3*time.Second, 0)
	is.Equal(s.Begin(start.Add(time.Second), time.Second, 0), start.Add(3*time.Second))
	is.Equal(s.Begin(start.Add(2*time.Second), 2*time.Second, 0), start.Add(4*time.Second))
	s.Extend(time.Time{})
	is.True(!s.Open(start.Add(3500*time.Millisecond), false))
}

// TestOneGoesFirst: after a rest one request finds out whether it is over. The others
// follow when it was answered, or when a refusal would be back.
func TestOneGoesFirst(t *testing.T) {
	is := is.New(t)
	var s backoff.State
	until := s.Begin(start, time.Second, 0)
	is.True(!s.Open(until, true)) // one that could not be sent again waits
	is.True(s.Open(until.Add(backoff.RetryableOnlyPeriod), true))
	is.True(s.Try(until))
	is.True(!s.Open(until, false))
	is.True(!s.Try(until))
	is.Equal(s.Delay(until), backoff.TrialTimeout+1)
	after := until.Add(backoff.TrialTimeout + 1)
	is.True(s.Open(after, true))
	is.True(s.Try(after))
	is.True(s.Try(after))

	s.Answered(until.Add(time.Millisecond))
	is.True(s.Open(until.Add(time.Millisecond), true))
	is.Equal(s.Delay(until.Add(time.Millisecond)), time.Duration(0))

	again := s.Begin(after, time.Second, 0) // turned away once more
	is.True(!s.Open(again.Add(-1), false))
	is.True(s.Try(again))
	is.True(!s.Try(again))
}

// TestNoCrowdAfterARest: an upstream turns 473 hosts away within a tenth of a second, and
// asks each for three seconds. Each host has a request for it every half second, and a
// waiting one as soon as the rest is over. Grounds: hosts that came back at once would be
// 47 in 10 ms; spread, 473 in 0.4 s are 12, and three times as many are left for luck. All
// are back within half a second after their own rest.
func TestNoCrowdAfterARest(t *testing.T) {
	const hosts, slice, most = 473, 10 * time.Millisecond, 36
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		arrivals := make(map[int]int)
		for range hosts {
			var s backoff.State
			turned := start.Add(time.Duration(random.Int64N(int64(100 * time.Millisecond))))
			s.Begin(turned, 3*time.Second, random.Uint64())
			now := turned
			for !s.Try(now) {
				now = now.Add(time.Millisecond)
			}
			if late := now.Sub(turned.Add(3 * time.Second)); late < 0 || late > 500*time.Millisecond {
				t.Fatalf("seed %d: back %v after its rest", seed, late)
			}
			arrivals[int(now.Sub(start)/slice)]++
		}
		for at, n := range arrivals {
			if n > most {
				t.Errorf("seed %d: %d hosts in the same %v, at %v", seed, n, slice, time.Duration(at)*slice)
			}
		}
	}
}

// TestConcurrentUse: of many goroutines that try at the same time after a rest, one goes.
func TestConcurrentUse(t *testing.T) {
	is := is.New(t)
	var s backoff.State
	until := s.Begin(start, time.Second, 0)
	went := make(chan bool)
	const goroutines = 32
	for range goroutines {
		go func() { went <- s.Open(until, false) && s.Try(until) }()
	}
	n := 0
	for range goroutines {
		if <-went {
			n++
		}
	}
	is.Equal(n, 1)
}

func TestBook(t *testing.T) {
	is := is.New(t)
	b := backoff.NewRegistry()
	b.Extend("a", start.Add(2*time.Second))
	b.Extend("a", start.Add(time.Second))
	b.Extend("b", start.Add(time.Second))
	is.Equal(b.Until("a"), start.Add(2*time.Second))
	is.True(b.Until("c").IsZero())
	b.Tick(start.Add(time.Second))
	is.Equal(b.Len(), 1)
	b.Tick(start.Add(2 * time.Second))
	is.Equal(b.Len(), 0)
}

func TestInherit(t *testing.T) {
	is := is.New(t)
	var old, next backoff.State
	next.Merge(&old)
	is.True(next.Open(start, false))
	until := old.Begin(start, time.Second, 0)
	next.Merge(&old)
	is.Equal(next.Delay(start), until.Sub(start))
}

func ExampleState() {
	var s backoff.State
	now := time.Now()
	asked, err := backoff.ParseSeconds("3")
	if err != nil {
		return
	}
	s.Begin(now, asked, 0)
	fmt.Println(s.Open(now.Add(time.Second), false), s.Open(now.Add(3*time.Second), false))
	// Output: false true
}

func BenchmarkOpen(b *testing.B) {
	var none, asked backoff.State
	asked.Begin(start, time.Hour, 0)
	for name, s := range map[string]*backoff.State{"none": &none, "resting": &asked} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.Open(start, false)
			}
		})
	}
}
