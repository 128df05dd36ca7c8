package entry

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/spf13/pflag"

	"github.com/dapplespindle/dapplespindle/internal/configfeed"
	"github.com/dapplespindle/dapplespindle/internal/logging"
	"github.com/dapplespindle/dapplespindle/internal/settings"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/configsync"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/lifecycle"
)

// fleetSize is the number of services, the number of upstreams of all of them, and the
// probe budget in percent of the slot time; 0 sends no probes.
type fleetSize struct {
	services, upstreams int
	percent             float64
}

// capacitySizes end at the target in docs/DEVELOPERS.md, without and with probes. The
// second and third have the same number of services, the third and fourth the same number
// of upstreams, so that the costs per upstream and per service can be told apart.
var capacitySizes = []fleetSize{{10, 366, 0}, {100, 3659, 0}, {100, 15000, 0}, {410, 15000, 0}, {410, 15000, 1}}

func (s fleetSize) String() string {
	return fmt.Sprintf("services=%d/upstreams=%d/probes=%v%%", s.services, s.upstreams, s.percent)
}

// document returns service i.
func (s fleetSize) document(i int) *config.Service {
	name := fmt.Sprintf("service-%03d", i)
	g := config.Group{Name: "main", Policy: "spindle"}
	g.Probe = config.ProbeBudget{SlotTimePercent: s.percent, Cost: config.Duration(6 * time.Millisecond)}
	for u := i; u < s.upstreams; u += s.services {
		g.Upstreams = append(g.Upstreams, config.Upstream{
			ID:             fmt.Sprintf("%s-%d", name, u),
			Address:        fmt.Sprintf("10.%d.%d.%d:8080", u>>16, u>>8&255, u&255),
			FailureDomain:  fmt.Sprintf("domain-%02d", u%29),
			Slots:          3,
			MaxConnections: 200,
			State:          config.Active,
		})
	}
	return &config.Service{
		Name:   name,
		Match:  config.Match{PathPrefix: "/" + name + "/"},
		Groups: []config.Group{g},
		Rules:  []config.Rule{{Name: "all", Group: "main", Repeat: config.Repeatable}},
	}
}

func (s fleetSize) snapshot() configfeed.Snapshot {
	out := configfeed.Snapshot{Frontier: uint64(s.services), Ready: true}
	for i := range s.services {
		out.InForce = append(out.InForce, configsync.Document{Revision: uint64(i + 1), Service: s.document(i)})
	}
	return out
}

// newIdleEntry returns an entry host whose real components are not started; the test
// takes the place of its control goroutine.
func newIdleEntry(tb testing.TB) *Entry {
	var conf settings.Entry
	fs := pflag.NewFlagSet("capacity", pflag.ContinueOnError)
	conf.Register(fs)
	if err := fs.Parse([]string{"--failure-domain=domain-00", "--platform=http://127.0.0.1:1", "--log-level=error"}); err != nil {
		tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	e, err := New(ctx, conf, "test", io.Discard)
	if err != nil {
		tb.Fatal(err)
	}
	return e
}

// configuredEntry returns an entry host with the documents of s as the current ones.
func configuredEntry(tb testing.TB, s fleetSize) (*Entry, configfeed.Snapshot) {
	e, snapshot := newIdleEntry(tb), s.snapshot()
	e.control.applyConfiguration(snapshot)
	if !e.control.ready {
		tb.Fatal("not ready")
	}
	return e, snapshot
}

func eachSize(b *testing.B, run func(*testing.B, fleetSize)) {
	for _, s := range capacitySizes {
		b.Run(s.String(), func(b *testing.B) { b.ReportAllocs(); run(b, s) })
	}
}

// BenchmarkStart measures building an entry host and applying its first configuration on
// the control goroutine.
func BenchmarkStart(b *testing.B) {
	eachSize(b, func(b *testing.B, s fleetSize) {
		snapshot := s.snapshot()
		for b.Loop() {
			newIdleEntry(b).control.applyConfiguration(snapshot)
		}
	})
}

// BenchmarkChange measures applying one changed document on the control goroutine.
func BenchmarkChange(b *testing.B) {
	eachSize(b, func(b *testing.B, s fleetSize) {
		e, snapshot := configuredEntry(b, s)
		for n := 0; b.Loop(); n++ {
			snapshot = withChangedDocument(s, snapshot, n%s.services)
			e.control.applyConfiguration(snapshot)
		}
	})
}

// withChangedDocument returns snapshot with a new revision of document i, in which the
// state of one upstream has changed.
func withChangedDocument(s fleetSize, snapshot configfeed.Snapshot, i int) configfeed.Snapshot {
	docs := append([]configsync.Document(nil), snapshot.InForce...)
	service := *docs[i].Service
	service.Groups = append([]config.Group(nil), service.Groups...)
	group := &service.Groups[0]
	group.Upstreams = append([]config.Upstream(nil), group.Upstreams...)
	u := &group.Upstreams[0]
	if u.State == config.Active {
		u.State = config.Draining
	} else {
		u.State = config.Active
	}
	snapshot.Frontier++
	docs[i].Revision, docs[i].Service = snapshot.Frontier, &service
	snapshot.InForce = docs
	return snapshot
}

// BenchmarkLifecycle measures the control work for updates about one upstream: failed
// connections and then a successful one, which cause two publications.
func BenchmarkLifecycle(b *testing.B) {
	eachSize(b, func(b *testing.B, s fleetSize) {
		e, snapshot := configuredEntry(b, s)
		doc := snapshot.InForce[0]
		key := lifecycle.UpstreamKey{Service: doc.Name, Upstream: doc.Service.Groups[0].Upstreams[0].ID}
		for b.Loop() {
			for range lifecycle.DefaultConfig().ConnectFailures {
				e.control.registry.ConnectFailed(time.Now(), key)
			}
			e.control.publishChanged()
			e.control.registry.ConnectSucceeded(time.Now(), key)
			e.control.publishChanged()
		}
	})
}

// BenchmarkTickSecond measures the tick that also runs the work of once a second, without
// updates.
func BenchmarkTickSecond(b *testing.B) {
	eachSize(b, func(b *testing.B, s fleetSize) {
		e, _ := configuredEntry(b, s)
		e.control.tick(time.Now())
		for b.Loop() {
			e.control.nextTick = time.Time{}
			e.control.tick(time.Now())
		}
	})
}

// BenchmarkTick measures the other ticks, which run every heartbeatInterval.
func BenchmarkTick(b *testing.B) {
	eachSize(b, func(b *testing.B, s fleetSize) {
		e, _ := configuredEntry(b, s)
		e.control.tick(time.Now())
		e.control.nextTick = time.Now().Add(time.Hour)
		for b.Loop() {
			e.control.tick(time.Now())
		}
	})
}

// BenchmarkFleetChange measures the control work when an entry host joins or leaves.
func BenchmarkFleetChange(b *testing.B) {
	eachSize(b, func(b *testing.B, s fleetSize) {
		e, _ := configuredEntry(b, s)
		for n := 0; b.Loop(); n++ {
			hosts := 13 + n%2
			e.proxy.SetEntryHosts(hosts)
			e.control.shareConnections(hosts)
			if e.control.groups.setFleet(0, hosts) {
				e.control.publish()
			}
		}
	})
}

// BenchmarkGroup measures rebuilding one group of different sizes.
func BenchmarkGroup(b *testing.B) {
	for _, n := range []int{10, 37, 100, 1000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			e, snapshot := configuredEntry(b, fleetSize{services: 1, upstreams: n})
			g := &snapshot.InForce[0].Groups[0]
			st := e.control.groups.groups[groupKey{"service-000", "main"}]
			for b.Loop() {
				e.control.groups.rebuild("service-000", g, st)
			}
		})
	}
}

// BenchmarkMemory reports the heap of an idle entry host, including documents, before and
// after a change of each document.
func BenchmarkMemory(b *testing.B) {
	eachSize(b, func(b *testing.B, s fleetSize) {
		for b.Loop() {
			logging.CaptureLibrary(event.Discard{}) // drops the reference to the previous entry host
			before := heapBytes()
			e, snapshot := configuredEntry(b, s)
			b.ReportMetric(float64(heapBytes()-before)/1e6, "MB")
			for i := range s.services {
				snapshot = withChangedDocument(s, snapshot, i)
				e.control.applyConfiguration(snapshot)
			}
			b.ReportMetric(float64(heapBytes()-before)/1e6, "MB-changed")
			runtime.KeepAlive(e)
			runtime.KeepAlive(snapshot)
		}
	})
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
