package members

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/pkg/event"
)

const (
	hostsTimeout = 2 * time.Second
	// minHostsInterval is the interval between reads in a small fleet.
	minHostsInterval = 5 * time.Second
	// hostsIntervalPerMember times the number of members is the interval in a
	// large fleet, so that all hosts together read twice per second regardless of
	// their number.
	hostsIntervalPerMember = 500 * time.Millisecond
	// initialHostsInterval is the initial interval of a host that has not joined; it
	// doubles with each read.
	initialHostsInterval = time.Second
	hostsJitter          = 0.2
)

// readHosts reads the platform's host list periodically until ctx is done.
func (m *Members) readHosts(ctx context.Context) {
	retry := initialHostsInterval
	failed := false
	for {
		failed = m.readHostsOnce(ctx, failed)
		pause := max(minHostsInterval, hostsIntervalPerMember*time.Duration(len(m.Snapshot().Members)))
		if !m.Snapshot().Joined {
			pause = min(pause, retry)
			retry *= 2
		}
		if !sleep(ctx, jitter(pause)) {
			return
		}
	}
}

// readHostsOnce reads the host list and reports whether that failed. Only the
// first of consecutive failures emits an event.
func (m *Members) readHostsOnce(ctx context.Context, failedBefore bool) bool {
	ctx, cancel := context.WithTimeout(ctx, hostsTimeout)
	defer cancel()
	list, err := m.conf.Hosts.Hosts(ctx)
	if err != nil {
		if !failedBefore && ctx.Err() != context.Canceled {
			detail := err.Error()
			m.conf.Loop.Post(func() { m.emit(event.Event{Code: event.MemberHostsUnreadable, Detail: detail}) })
		}
		return true
	}
	m.conf.Loop.Post(func() { m.apply(m.core.SetHosts(clock.Now(), list.Revision, list.Hosts)) })
	return false
}

func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + hostsJitter*(2*rand.Float64()-1)))
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
