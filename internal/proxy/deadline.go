package proxy

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
)

// limitDeadline sets and returns the request's deadline, which is the earlier of the
// rule's and the caller's. A caller's value that is not a positive number of
// milliseconds is ignored.
func (x *exchange) limitDeadline() time.Time {
	limit := x.rule.Config.Deadline.Std()
	if value := x.req.Header.Get(x.proxy.dialect.Timeout); value != "" {
		ms, err := strconv.ParseInt(value, 10, 64)
		if err == nil && ms > 0 && ms < limit.Milliseconds() {
			limit = time.Duration(ms) * time.Millisecond
		}
	}
	x.deadline = x.req.Received.Add(limit)
	return x.deadline
}

// timeLeft returns the time until the deadline.
func (x *exchange) timeLeft() time.Duration { return clock.Until(x.deadline) }

// timeoutValue returns the time left for the upstream, in whole milliseconds and at
// least 1.
func (x *exchange) timeoutValue() string {
	return strconv.FormatInt(max(x.timeLeft().Milliseconds(), 1), 10)
}

// expired returns an error if ctx has ended or the deadline has passed before the request
// was sent.
func (x *exchange) expired(ctx context.Context) *errkind.Error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return errkind.New(errkind.CallerGone, "before send")
	}
	if ctx.Err() != nil || x.timeLeft() <= 0 {
		return errkind.New(errkind.DeadlineBeforeSend, "deadline passed")
	}
	return nil
}
