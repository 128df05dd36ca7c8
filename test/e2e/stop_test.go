package e2e

import (
	"testing"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/config"
)

// withLoad sends repeatable requests while change runs.
func withLoad(f *fleet, change func()) *lookups {
	b := newPlatformBalancer(f)
	done := make(chan struct{})
	go b.run(done)
	result := make(chan *lookups)
	go func() { result <- runLookups(b, 8, done) }()
	change()
	close(done)
	return <-result
}

func TestRollingRestartAbortsNothing(t *testing.T) {
	f := newFleet(t, 4, 5)
	l := withLoad(f, func() {
		for _, e := range f.entries {
			if err := e.stop(); err != nil {
				t.Errorf("entry host %s: %v", e.caller, err)
			}
			f.restart(e)
			f.waitReady(e)
			time.Sleep(4 * readinessInterval)
		}
	})
	l.check(t)
}

const drainTimeout = 3 * time.Second

func TestDrainedUpstreamGetsNothingNew(t *testing.T) {
	f := newFleet(t, 4, entryHosts)
	drained := f.upstreams[0]
	var before, after int64
	l := withLoad(f, func() {
		time.Sleep(time.Second)
		doc := f.document()
		doc.Groups[0].Upstreams[0].State = config.Draining
		f.publish(doc)
		time.Sleep(drainTimeout)
		before = f.served(drained)
		time.Sleep(2 * time.Second)
		after = f.served(drained)
	})
	l.check(t)
	if before == 0 {
		t.Error("the upstream served nothing before it was drained")
	}
	if after != before {
		t.Errorf("%d requests reached the upstream more than %s after the drain was published", after-before, drainTimeout)
	}
}
