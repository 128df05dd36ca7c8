package peertransport

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/ratelimit"
)

// TestLimitsAreTold: in as many messages as it takes, each of a datagram, and what makes no
// sense is refused.
func TestLimitsAreTold(t *testing.T) {
	is := is.New(t)
	a, b := begin(t), begin(t)
	var told []ratelimit.Update
	for i := range LimitsPerMessage + 1 {
		told = append(told, ratelimit.Update{
			Server:    ratelimit.Server{IDHash: 1<<64 - 1 - uint64(i), StartedAt: 1_700_000_000_000 + int64(i)},
			PerSecond: 123456.78901234567,
			Ended:     i%2 == 0,
			Age:       4999999 * time.Microsecond,
		})
	}
	a.SendLimits([]netip.AddrPort{b.address}, told)
	is.Equal(append(<-b.limits, <-b.limits...), told)
	for _, text := range []string{`{`, `[{"r":-1}]`, `[{"r":1,"a":-1}]`, `[{"r":1e300}]`, `[{"a":9000000000000}]`} {
		is.True(b.heardLimits([]byte(text)) != nil)
	}
	is.Equal(len(b.limits), 0)
}

// TestBorrow: a host lends a turn that it has, once, and none that it does not have; one that
// is gone lends nothing, and the question ends in time.
func TestBorrow(t *testing.T) {
	is := is.New(t)
	a, b := begin(t), begin(t)
	state := b.book.Acquire("i-1", 7)
	server := state.Server()
	is.True(!a.Borrow(t.Context(), b.address, server)) // no limit is known there
	now := time.Now()
	state.Observe(now, now, ratelimit.Limit{Kind: ratelimit.Limited, PerSecond: 0.5}, ratelimit.Answer)
	for !state.Open(time.Now()) {
		time.Sleep(10 * time.Millisecond)
	}
	is.True(a.Borrow(t.Context(), b.address, server))
	is.True(!a.Borrow(t.Context(), b.address, server))
	is.True(!a.Borrow(t.Context(), b.address, ratelimit.ServerOf("i-1", 8)))

	b.Stop()
	began := time.Now()
	is.True(!a.Borrow(t.Context(), b.address, server))
	is.True(time.Since(began) < 20*borrowTimeout)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(!a.Borrow(ctx, b.address, server))
	is.Equal(len(a.borrowing.open), 0)
}

// TestAnswersThatNobodyWaitsFor: late, doubled or made up.
func TestAnswersThatNobodyWaitsFor(t *testing.T) {
	is := is.New(t)
	a := begin(t)
	is.NoErr(a.heardLent([]byte(`{"q":5,"l":true}`)))
	number, answer := a.borrowing.ask()
	a.borrowing.take(number) <- true
	is.True(a.borrowing.take(number) == nil)
	is.True(<-answer)
	is.True(a.heardLent([]byte(`[`)) != nil)
	is.True(a.heardBorrow([]byte(`[`), a.address) != nil)
}
