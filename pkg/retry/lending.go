package retry

import (
	"sync/atomic"
	"time"
)

const (
	// lendLevel is the part of a bucket that a host keeps when it lends. The other quarter is
	// more than it uses itself.
	lendLevel = 0.75
	// borrowPause is the time without requests to other hosts after one was refused or not
	// answered: when upstreams fail for all hosts, no host lends.
	borrowPause = 500 * time.Millisecond
	// borrowInterval is the least time between two requests of a host to others, for all
	// services. It bounds their traffic to 4 KB/s.
	borrowInterval = 20 * time.Millisecond
)

// Lend takes the token for an extra attempt of another host. It returns false if this host may
// need it, which it does not if the bucket is at least three quarters full and at least half of
// the window is unused. A budget without a window lends nothing, since its bound is this host's
// alone.
func (b *Budget) Lend() bool {
	return b != nil && b.window != nil && b.window.halfFree(b.credit()) && b.WithdrawAbove(lendLevel)
}

// BorrowLimit limits the requests of this host to other hosts for extra attempts, over all
// services. The zero value allows one.
type BorrowLimit struct {
	next atomic.Int64 // earliest time of the next request, in Unix nanoseconds
}

// Allow reports whether another host may be asked now, and counts the request if so.
func (l *BorrowLimit) Allow(now time.Time) bool {
	next := l.next.Load()
	return now.UnixNano() >= next && l.next.CompareAndSwap(next, now.Add(borrowInterval).UnixNano())
}

// BorrowPause stops the requests to other hosts for extra attempts to one service after one was
// refused. The zero value does not.
type BorrowPause struct {
	until atomic.Int64 // in Unix nanoseconds
}

// Active reports whether no other host may be asked now.
func (p *BorrowPause) Active(now time.Time) bool { return now.UnixNano() < p.until.Load() }

// Refused records that the host that was asked lent nothing or did not answer.
func (p *BorrowPause) Refused(now time.Time) { p.until.Store(now.Add(borrowPause).UnixNano()) }
