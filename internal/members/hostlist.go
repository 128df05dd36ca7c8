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
	// hostsLeastInterval is the interval between two reads in a small fleet.
	hostsLeastInterval = 5 * time.Second
	// hostsShare times the members is the interval in a large fleet, so that
	// all hosts together read twice a second, however many they are.
	hostsShare = 500 * time.Millisecond
	// hostsFirstRetry is the first interval of a host that has not joined; it
	// doubles.
	hostsFirstRetry = time.Second
	hostsJitter     = 0.2
)

// readHosts reads the platform's list now and then, until ctx ends.
func (m *Members) readHosts(ctx context.Context) {
	retry := hostsFirstRetry
	failed := false
	for {
		failed = m.readHostsOnce(ctx, failed)
		pause := max(hostsLeastInterval, hostsShare*time.Duration(len(m.Snapshot().Members)))
		if !m.Snapshot().Joined {
			pause = min(pause, retry)
			retry *= 2
		}
		if !sleep(ctx, jitter(pause)) {
			return
		}
	}
}

// readHostsOnce reports whether the read failed. Only the first failure in a
// row is an event.
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
