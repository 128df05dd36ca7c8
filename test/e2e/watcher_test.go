package e2e

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	operatorv1 "github.com/dapplespindle/dapplespindle/api/operator/v1"
)

const (
	watchInterval = 30 * time.Millisecond
	rpcTimeout    = time.Second
	// minAppliedHosts is the number of entry hosts that must have applied a revision before a
	// host that starts afterwards must not serve by an older one.
	minAppliedHosts = 3
)

// watched is what the watcher observed of one entry host.
type watched struct {
	entry       *entryHost
	client      operatorv1.OperatorClient
	incarnation int    // processes started so far
	revision    uint64 // the newest applied in this incarnation
	floor       uint64 // the lowest revision by which this incarnation may serve
	serves      bool
}

// watcher queries each entry host, over the operator API, for the current revision of the
// ledger's document, and records each regression to an older one.
type watcher struct {
	fleet       *fleet
	mu          sync.Mutex
	hosts       []*watched
	readings    int
	regressions []string
}

func newWatcher(f *fleet) *watcher {
	w := &watcher{fleet: f}
	for _, e := range f.entries {
		conn, err := grpc.NewClient("passthrough:///"+e.operator,
			grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: rpcTimeout}))
		if err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(func() { _ = conn.Close() })
		w.hosts = append(w.hosts, &watched{entry: e, client: operatorv1.NewOperatorClient(conn)})
	}
	return w
}

// run polls the entry hosts until done is closed.
func (w *watcher) run(done <-chan struct{}) {
	var wg sync.WaitGroup
	for _, h := range w.hosts {
		wg.Go(func() { every(done, watchInterval, func(int) { w.poll(h) }) })
	}
	wg.Wait()
}

// poll takes one reading and discards it if the process was replaced meanwhile.
func (w *watcher) poll(h *watched) {
	w.mu.Lock()
	incarnation := h.incarnation
	w.mu.Unlock()
	if w.fleet.get("http://"+h.entry.admin+"/readyz") != nil {
		return
	}
	revision, err := w.currentRevision(h)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if h.incarnation != incarnation {
		return
	}
	w.readings++
	if least := max(h.floor, h.revision); revision < least {
		w.regressions = append(w.regressions, fmt.Sprintf("%s, process %d: serves by revision %d, but must not be below %d", h.entry.caller, incarnation, revision, least))
	}
	h.revision = max(h.revision, revision)
	h.serves = true
}

func (w *watcher) currentRevision(h *watched) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), rpcTimeout)
	defer cancel()
	resp, err := h.client.DescribeService(ctx, &operatorv1.DescribeServiceRequest{Name: "ledger"})
	return resp.GetVersion().GetRevision(), err
}

// replace kills the process of entry host i and starts another, which must not serve by an
// older revision than several of the others have applied by now.
func (w *watcher) replace(i int) {
	h := w.hosts[i]
	w.mu.Lock()
	h.incarnation++
	h.serves = false
	h.revision = 0
	w.mu.Unlock()
	h.entry.kill()
	w.mu.Lock()
	h.incarnation++
	h.floor = w.appliedRevision()
	w.mu.Unlock()
	w.fleet.restart(h.entry)
}

// appliedRevision returns the newest revision that minAppliedHosts hosts have applied, or 0.
func (w *watcher) appliedRevision() uint64 {
	var all []uint64
	for _, h := range w.hosts {
		if h.serves {
			all = append(all, h.revision)
		}
	}
	if len(all) < minAppliedHosts {
		return 0
	}
	slices.Sort(all)
	return all[len(all)-minAppliedHosts]
}

// serving returns the indices of the hosts that serve.
func (w *watcher) serving() []int {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []int
	for i, h := range w.hosts {
		if h.serves {
			out = append(out, i)
		}
	}
	return out
}

// has reports whether the given hosts all serve by at least a revision.
func (w *watcher) has(hosts []int, revision uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !slices.ContainsFunc(hosts, func(i int) bool { return !w.hosts[i].serves || w.hosts[i].revision < revision })
}

// anyHas reports whether any host serves by at least a revision.
func (w *watcher) anyHas(revision uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.hosts, func(h *watched) bool { return h.serves && h.revision >= revision })
}

func (w *watcher) all() []int {
	out := make([]int, len(w.hosts))
	for i := range out {
		out[i] = i
	}
	return out
}

func (w *watcher) check(t *testing.T) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	t.Logf("%d readings of serving entry hosts, %d regressions", w.readings, len(w.regressions))
	for _, f := range w.regressions {
		t.Error(f)
	}
}
