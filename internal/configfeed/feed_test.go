package configfeed

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/internal/control"
	"github.com/dapplespindle/dapplespindle/internal/peer"
	"github.com/dapplespindle/dapplespindle/internal/platform"
	"github.com/dapplespindle/dapplespindle/internal/standin"
	"github.com/dapplespindle/dapplespindle/pkg/configsync"
	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// member is the feed of one entry host on loopback.
type member struct {
	configsync.Member
	*Feed
	snapshot atomic.Pointer[Snapshot]
	server   *peer.Server
	pool     *peer.Pool
	stop     context.CancelFunc
}

type fleet struct {
	platform *standin.Platform
	base     string
	list     []configsync.Member
	hosts    []*member
	bytes    *atomic.Int64 // counts the traffic between peers, if not nil
}

func newFleet(t testing.TB, size int) *fleet {
	f := &fleet{platform: standin.NewPlatform()}
	server := httptest.NewServer(f.platform.Handler())
	t.Cleanup(server.Close)
	f.base = server.URL
	for i := range size {
		f.list = append(f.list, configsync.Member{Address: freeAddress(t), FailureDomain: fmt.Sprintf("domain-%d", i%3)})
		f.hosts = append(f.hosts, nil)
	}
	t.Cleanup(func() {
		for i := range f.hosts {
			f.kill(i)
		}
	})
	return f
}

func freeAddress(t testing.TB) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

func (f *fleet) start(t testing.TB, i int) {
	ctx, stop := context.WithCancel(context.Background())
	m := &member{Member: f.list[i], server: peer.NewServer(f.list[i].Address, nil), pool: peer.NewPool(nil), stop: stop}
	loop := control.NewLoop()
	m.Feed = New(ctx, Config{
		Host:     m.Address,
		Options:  configsync.Options{Self: m.Member, SoloStartTimeout: 5 * time.Second},
		Loop:     loop,
		Server:   m.server,
		Pool:     m.pool,
		Platform: platform.NewClient(f.base),
		Members:  func() ([]configsync.Member, bool) { return f.list, true },
		Events:   event.Discard{},
		OnChange: func(s Snapshot) { m.snapshot.Store(&s) },
	})
	f.serve(t, m)
	go loop.Run(ctx)
	f.hosts[i] = m
}

func (f *fleet) serve(t testing.TB, m *member) {
	if f.bytes == nil {
		if err := m.server.Start(); err != nil {
			t.Fatal(err)
		}
		return
	}
	ln, err := net.Listen("tcp", m.Address)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = m.server.Serve(countingListener{ln, f.bytes}) }()
}

func (f *fleet) startAll(t testing.TB) {
	for i := range f.hosts {
		f.start(t, i)
	}
}

func (f *fleet) kill(i int) {
	m := f.hosts[i]
	if m == nil {
		return
	}
	m.stop()
	m.server.Stop()
	m.pool.Close()
	f.hosts[i] = nil
}

// revision returns the current revision of a service, and whether m is ready.
func (m *member) revision(name string) (uint64, bool) {
	s := m.snapshot.Load()
	if s == nil || !s.Ready {
		return 0, false
	}
	for _, v := range s.InForce {
		if v.Name == name {
			return v.Revision, true
		}
	}
	return 0, true
}

// await waits until every running host serves name at revision or above, and
// returns how long that took.
func (f *fleet) await(t testing.TB, name string, revision uint64) time.Duration {
	t.Helper()
	began := time.Now()
	for time.Since(began) < 30*time.Second {
		if f.all(name, revision) {
			return time.Since(began)
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("revision %d of %s did not become current on every host within 30 s", revision, name)
	return 0
}

func (f *fleet) all(name string, revision uint64) bool {
	for _, m := range f.hosts {
		if m == nil {
			continue
		}
		if got, ready := m.revision(name); !ready || got < revision {
			return false
		}
	}
	return true
}

func document(name string, n int) []byte {
	return fmt.Appendf(nil, `{"name":%q,"match":{"path_prefix":"/%s/"},"groups":[{"name":"main"}],`+
		`"rules":[{"name":"r","group":"main","repeat":"repeatable","deadline":"%dms"}]}`, name, name, n+1)
}

func TestFeedsOverLoopback(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 6)
	first := f.platform.Publish("services/a", document("a", 1))
	f.startAll(t)
	f.await(t, "a", first)

	second := f.platform.Publish("services/a", document("a", 2))
	f.await(t, "a", second)
	f.platform.Publish("services/a", []byte(`{"name":"a"}`))
	third := f.platform.Publish("services/b", document("b", 3))
	f.await(t, "b", third)
	f.await(t, "a", second) // the invalid document did not replace the current one

	// While the platform is stale, a host that restarts gets the newest version from
	// its peers.
	f.platform.SetFaults(standin.Faults{Stale: true, StaleAt: first})
	f.kill(1)
	f.start(t, 1)
	f.await(t, "a", second)
	got, _ := f.hosts[1].revision("a")
	is.Equal(got, second)

	// The same holds while the platform is down.
	f.platform.SetFaults(standin.Faults{Down: true})
	f.kill(2)
	f.start(t, 2)
	f.await(t, "b", third)

	// The platform recovers with new changes.
	last := f.platform.Publish("services/a", document("a", 4))
	f.platform.SetFaults(standin.Faults{})
	f.await(t, "a", last)
	var marks []configsync.MemberWatermark
	for _, m := range f.hosts {
		marks = append(marks, configsync.MemberWatermark{Member: m.Member, Watermark: m.Watermark()})
	}
	p, err := f.hosts[0].Progress(context.Background(), "services/a", second, marks)
	is.NoErr(err)
	is.Equal(p.Status, configsync.Superseded)
}

// TestSoloStartServesAfterTimeout starts one host of two: the listed peer never
// responds, and the host must serve after SoloStartTimeout.
func TestSoloStartServesAfterTimeout(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	revision := f.platform.Publish("services/a", document("a", 1))
	f.start(t, 0)
	f.await(t, "a", revision)
	is.True(f.hosts[0].Watermark().Ready)
}
