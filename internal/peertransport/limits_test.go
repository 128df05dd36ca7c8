package peertransport

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/ratelimit"
)

// TestLimitsAreTold checks that limits are split into datagrams, and that invalid limits are
// refused.
func TestLimitsAreTold(t *testing.T) {
	is := is.New(t)
	a, b := startHost(t), startHost(t)
	var limits []ratelimit.Update
	for i := range LimitsPerMessage + 1 {
		limits = append(limits, ratelimit.Update{
			Server:    ratelimit.Server{IDHash: 1<<64 - 1 - uint64(i), StartedAt: 1_700_000_000_000 + int64(i)},
			PerSecond: 123456.78901234567,
			Ended:     i%2 == 0,
			Age:       4999999 * time.Microsecond,
		})
	}
	a.SendLimits([]netip.AddrPort{b.address}, limits)
	is.Equal(append(<-b.limits, <-b.limits...), limits)
	for _, text := range []string{`{`, `[{"r":-1}]`, `[{"r":1,"a":-1}]`, `[{"r":1e300}]`, `[{"a":9000000000000}]`} {
		is.True(b.receiveLimits([]byte(text)) != nil)
	}
	is.Equal(len(b.limits), 0)
}

// TestBorrow checks that a host lends a time slot that it has once, and none that it does not
// have. A stopped host lends nothing, and the request times out.
func TestBorrow(t *testing.T) {
	is := is.New(t)
	a, b := startHost(t), startHost(t)
	state := b.limiters.Acquire("i-1", 7)
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
	is.Equal(len(a.borrows.pending), 0)
}

// TestAnswersThatNobodyWaitsFor covers late, duplicate and forged responses.
func TestAnswersThatNobodyWaitsFor(t *testing.T) {
	is := is.New(t)
	a := startHost(t)
	is.NoErr(a.receiveLent([]byte(`{"q":5,"l":true}`)))
	id, response := a.borrows.add()
	a.borrows.remove(id) <- true
	is.True(a.borrows.remove(id) == nil)
	is.True(<-response)
	is.True(a.receiveLent([]byte(`[`)) != nil)
	is.True(a.receiveBorrow([]byte(`[`), a.address) != nil)
}
