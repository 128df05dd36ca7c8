package configfeed

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/standin"
	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/routing"
)

// countingListener counts the bytes of accepted connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

const (
	targetServices  = 410
	targetEndpoints = 15000
	changesPerDay   = 15000
)

func targetDocument(i, n int) []byte {
	name := fmt.Sprintf("service-%d", i)
	var list []string
	for u := range targetEndpoints / targetServices {
		state := "active"
		if u == n%30 {
			state = "draining"
		}
		list = append(list, fmt.Sprintf(`{"id":"%s-%d","address":"10.%d.%d.%d:8080","failure_domain":"campina-grande","state":%q}`, name, u, i%200, u/250, u%250, state))
	}
	return fmt.Appendf(nil, `{"name":%q,"match":{"path_prefix":"/%s/"},"groups":[{"name":"main","upstreams":[%s]}],`+
		`"rules":[{"name":"r","group":"main","repeat":"repeatable"}]}`, name, name, strings.Join(list, ","))
}

// TestMeasureFeeds measures real feeds over loopback with documents of the target
// size.
func TestMeasureFeeds(t *testing.T) {
	if os.Getenv("CONFIG_MEASURE") == "" {
		t.Skip("set CONFIG_MEASURE=1")
	}
	for _, size := range []int{6, 13, 18} {
		measureFeeds(t, size)
	}
}

func measureFeeds(t *testing.T, size int) {
	f := newFleet(t, size)
	f.bytes = new(atomic.Int64)
	var last uint64
	for i := range targetServices {
		last = f.platform.Publish(fmt.Sprintf("services/service-%d", i), targetDocument(i, 0))
	}
	f.startAll(t)
	start := f.await(t, fmt.Sprintf("service-%d", targetServices-1), last)
	loaded := f.bytes.Load()
	time.Sleep(3 * time.Second)

	began, bytes, reads := time.Now(), f.bytes.Load(), f.platform.Reads()
	cpu := cpuSeconds()
	time.Sleep(15 * time.Second)
	span := time.Since(began).Seconds()
	cpu = (cpuSeconds() - cpu) / span / float64(size)
	idle := float64(f.bytes.Load()-bytes) / span / float64(size)
	calls := float64(f.platform.Reads()-reads) / span

	t.Logf("%d hosts: processor time of the test, stand-in included, by host: %.2f%% of a core", size, 100*cpu)

	began, bytes = time.Now(), f.bytes.Load()
	took := f.publishMany(t, 40)
	span = time.Since(began).Seconds()
	perChange := (float64(f.bytes.Load()-bytes)/float64(size) - idle*span) / float64(len(took))
	t.Logf("%d hosts, %d documents: cold start %v, %.2f MB per host; platform calls/s %.2f", size, targetServices, start, float64(loaded)/float64(size)/1e6, calls)
	t.Logf("%d hosts: in force p50 %v max %v of %d changes", size, took[len(took)/2], took[len(took)-1], len(took))
	t.Logf("%d hosts: TCP payload sent and received per host, over both ends: idle %.0f B/s, per change %.0f B; at 15,000 changes a day %.0f B/s", size, 2*idle, 2*perChange, 2*(idle+perChange*changesPerDay/86400))

	f.platform.SetFaults(standin.Faults{Stale: true, StaleAt: 1})
	f.kill(0)
	began = time.Now()
	f.start(t, 0)
	f.await(t, "service-1", last)
	t.Logf("%d hosts: one restarted while the platform was stale, serving after %v", size, time.Since(began))
	f.platform.SetFaults(standin.Faults{Lag: config.Duration(2 * time.Second)})
	took = f.publishMany(t, 5)
	t.Logf("%d hosts, platform lags 2s: in force p50 %v max %v", size, took[len(took)/2], took[len(took)-1])
	for i := range f.hosts {
		f.kill(i)
	}
}

func cpuSeconds() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}

func (f *fleet) publishMany(t *testing.T, count int) []time.Duration {
	var took []time.Duration
	for n := range count {
		i := n % targetServices
		revision := f.platform.Publish(fmt.Sprintf("services/service-%d", i), targetDocument(i, n+1))
		took = append(took, f.await(t, fmt.Sprintf("service-%d", i), revision))
		time.Sleep(200 * time.Millisecond)
	}
	slices.Sort(took)
	return took
}

type noPicker struct{}

func (noPicker) Group(_ *config.Service, g *config.Group) *routing.Group {
	return &routing.Group{Config: g, Picker: balancer.Picker(nil)}
}

// BenchmarkCompile compiles the routing table of the target deployment.
func BenchmarkCompile(b *testing.B) {
	var services []*config.Service
	for i := range targetServices {
		s, err := config.Parse(targetDocument(i, i))
		if err != nil {
			b.Fatal(err)
		}
		services = append(services, s)
	}
	for b.Loop() {
		routing.Compile(1, services, noPicker{})
	}
}
