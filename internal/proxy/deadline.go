package proxy

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
)

// limitDeadline sets the earlier of the rule's and the caller's deadline. A
// caller's value that is not a positive number of milliseconds is ignored.
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

// left is the time to the deadline.
func (x *exchange) timeLeft() time.Duration { return clock.Until(x.deadline) }

// timeoutValue tells an upstream how much of the deadline is left, in whole
// milliseconds.
func (x *exchange) timeoutValue() string {
	return strconv.FormatInt(max(x.timeLeft().Milliseconds(), 1), 10)
}

// expired reports the end of ctx, or a passed deadline, before anything was
// sent.
func (x *exchange) expired(ctx context.Context) *errkind.Error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return errkind.New(errkind.CallerGone, "before send")
	}
	if ctx.Err() != nil || x.timeLeft() <= 0 {
		return errkind.New(errkind.DeadlineBeforeSend, "deadline passed")
	}
	return nil
}
