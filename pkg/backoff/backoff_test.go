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

func TestStateBacksOff(t *testing.T) {
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
		s.Answered(now) // response to an earlier request: the backoff continues
		is.True(!s.Open(now, false))
	}
	is.True(s.Open(until, false))
}

// TestLongestBackoffCounts checks that the longest backoff counts if the responses to
// concurrent requests ask for different times, in any order.
func TestLongestBackoffCounts(t *testing.T) {
	is := is.New(t)
	var s backoff.State
	s.Begin(start, 3*time.Second, 0)
	is.Equal(s.Begin(start.Add(time.Second), time.Second, 0), start.Add(3*time.Second))
	is.Equal(s.Begin(start.Add(2*time.Second), 2*time.Second, 0), start.Add(4*time.Second))
	s.Extend(time.Time{})
	is.True(!s.Open(start.Add(3500*time.Millisecond), false))
}

// TestOneGoesFirst checks that a single request is sent first after a backoff. The others
// follow once it was answered, or once a rejection would have arrived.
func TestOneGoesFirst(t *testing.T) {
	is := is.New(t)
	var s backoff.State
	until := s.Begin(start, time.Second, 0)
	is.True(!s.Open(until, true)) // a request that could not be retried waits
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

	again := s.Begin(after, time.Second, 0) // rejected once more
	is.True(!s.Open(again.Add(-1), false))
	is.True(s.Try(again))
	is.True(!s.Try(again))
}

// TestNoCrowdAfterARest guards against hosts that all resume at the same moment. An upstream
// rejects 473 hosts within 0.1 s and asks each for a backoff of three seconds. Each host has
// a request for it every half second, and one that waits when the backoff is over. Without
// jitter, 47 hosts would resume in 10 ms. With jitter, 473 hosts in 0.4 s are 12 in 10 ms on
// average, and the limit is three times as many to allow for chance. Each host must resume
// within half a second of the end of its backoff.
func TestNoCrowdAfterARest(t *testing.T) {
	const hosts, slice, limit = 473, 10 * time.Millisecond, 36
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		arrivals := make(map[int]int)
		for range hosts {
			var s backoff.State
			rejected := start.Add(time.Duration(random.Int64N(int64(100 * time.Millisecond))))
			s.Begin(rejected, 3*time.Second, random.Uint64())
			now := rejected
			for !s.Try(now) {
				now = now.Add(time.Millisecond)
			}
			if late := now.Sub(rejected.Add(3 * time.Second)); late < 0 || late > 500*time.Millisecond {
				t.Fatalf("seed %d: resumed %v after its backoff", seed, late)
			}
			arrivals[int(now.Sub(start)/slice)]++
		}
		for at, n := range arrivals {
			if n > limit {
				t.Errorf("seed %d: %d hosts in the same %v, at %v", seed, n, slice, time.Duration(at)*slice)
			}
		}
	}
}

// TestConcurrentUse checks that only one of many goroutines that call Try at the same time
// after a backoff may send.
func TestConcurrentUse(t *testing.T) {
	is := is.New(t)
	var s backoff.State
	until := s.Begin(start, time.Second, 0)
	sent := make(chan bool)
	const goroutines = 32
	for range goroutines {
		go func() { sent <- s.Open(until, false) && s.Try(until) }()
	}
	n := 0
	for range goroutines {
		if <-sent {
			n++
		}
	}
	is.Equal(n, 1)
}

func TestRegistry(t *testing.T) {
	is := is.New(t)
	r := backoff.NewRegistry()
	r.Extend("a", start.Add(2*time.Second))
	r.Extend("a", start.Add(time.Second))
	r.Extend("b", start.Add(time.Second))
	is.Equal(r.Until("a"), start.Add(2*time.Second))
	is.True(r.Until("c").IsZero())
	r.Tick(start.Add(time.Second))
	is.Equal(r.Len(), 1)
	r.Tick(start.Add(2 * time.Second))
	is.Equal(r.Len(), 0)
}

func TestMerge(t *testing.T) {
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
	requested, err := backoff.ParseSeconds("3")
	if err != nil {
		return
	}
	s.Begin(now, requested, 0)
	fmt.Println(s.Open(now.Add(time.Second), false), s.Open(now.Add(3*time.Second), false))
	// Output: false true
}

func BenchmarkOpen(b *testing.B) {
	var none, active backoff.State
	active.Begin(start, time.Hour, 0)
	for name, s := range map[string]*backoff.State{"none": &none, "active": &active} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.Open(start, false)
			}
		})
	}
}
